package madderrudder.coordination.registry;

import java.util.List;
import madderrudder.persistence.PendingChange;
import madderrudder.protocol.StoreCodec.Write;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Deletes a key that is no longer needed, such as a progress chunk of a job that has ended. */
record DeleteKeyChange(String key) implements PendingChange {
  private static final Logger LOG = LoggerFactory.getLogger(DeleteKeyChange.class);

  @Override
  public String name() {
    return key;
  }

  @Override
  public List<Write> writes() {
    return List.of(Write.delete(key));
  }

  @Override
  public void committed() {
    LOG.debug("deleted key {}", key);
  }
}
