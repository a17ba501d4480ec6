package madderrudder.coordination.cloud;

import madderrudder.protocol.JsonFields;

/**
 * The catalog as the cloud sent it. Its fields are checked only when the machine types are read.
 *
 * @param json the JSON text, kept as it came so that it can be stored unchanged
 * @param fields the fields of the same text
 */
public record CatalogDocument(byte[] json, JsonFields fields) {}
