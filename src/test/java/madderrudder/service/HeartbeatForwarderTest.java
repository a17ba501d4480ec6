package madderrudder.service;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import madderrudder.protocol.Json;
import madderrudder.protocol.JsonFields;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.PeerMessage;
import madderrudder.protocol.PeerMessage.ForwardedHeartbeat;
import madderrudder.protocol.PeerMessage.ForwardedResponse;
import madderrudder.protocol.PeerMessageCodec;
import madderrudder.transport.ManualScheduler;
import madderrudder.transport.PeerMessenger;
import org.junit.jupiter.api.Test;

/**
 * Guards against commands that reach the wrong worker, because the leader's response to a heartbeat
 * that an earlier process of the controller forwarded is taken for the response to another one.
 */
class HeartbeatForwarderTest {
  private static final String MEMBER = "n-1";
  private static final String LEADER = "n-0";

  private final List<PeerMessage> sent = new ArrayList<>();

  /** What the workers got, in the order in which they got it. */
  private final List<String> outcomes = new ArrayList<>();

  private final ManualScheduler scheduler = new ManualScheduler();

  private final PeerMessenger messenger =
      new PeerMessenger() {
        @Override
        public void broadcast(ByteBuffer message) {
          throw new AssertionError("a forwarded heartbeat has one receiver");
        }

        @Override
        public void send(String member, ByteBuffer message) {
          message.getInt();
          try {
            sent.add(PeerMessageCodec.decode(message));
          } catch (MalformedMessageException e) {
            throw new AssertionError(e);
          }
        }
      };

  private HeartbeatForwarder process(long incarnation) {
    return new HeartbeatForwarder(scheduler, messenger, MEMBER, incarnation);
  }

  private ForwardedHeartbeat forward(HeartbeatForwarder forwarder, String machine) {
    byte[] body = "{}".getBytes(StandardCharsets.UTF_8);
    forwarder.forward(
        LEADER,
        machine,
        body,
        new HeartbeatForwarder.Callback() {
          @Override
          public void onResponse(Optional<byte[]> response) {
            String text =
                response.map(b -> new String(b, StandardCharsets.UTF_8)).orElse("refused");
            outcomes.add(machine + " " + text);
          }

          @Override
          public void onTimeout() {
            outcomes.add(machine + " timeout");
          }
        });
    return (ForwardedHeartbeat) sent.get(sent.size() - 1);
  }

  private ForwardedResponse responseOfLeader(ForwardedHeartbeat heartbeat, String body) {
    HeartbeatForwarder leader =
        new HeartbeatForwarder(scheduler, messenger, LEADER, /* incarnation= */ 99);
    leader.respond(heartbeat, "m-1", Optional.of(body.getBytes(StandardCharsets.UTF_8)));
    return (ForwardedResponse) sent.get(sent.size() - 1);
  }

  private static long counter(HeartbeatForwarder forwarder, String field) {
    try {
      JsonFields counters = Json.readObject(Json.object(forwarder::writeCounters));
      return counters.count(field);
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  @Test
  void responseReachesWorkerThatSentHeartbeat() {
    HeartbeatForwarder forwarder = process(7);
    ForwardedHeartbeat first = forward(forwarder, "m-1");
    ForwardedHeartbeat second = forward(forwarder, "m-2");
    forwarder.receive(responseOfLeader(second, "two"));
    forwarder.receive(responseOfLeader(first, "one"));
    assertEquals(List.of("m-2 two", "m-1 one"), outcomes);
    assertEquals(2, counter(forwarder, "reports_passed_on"));
    assertEquals(0, counter(forwarder, "forwarded_responses_ignored"));
  }

  /** Both processes have forwarded one heartbeat when the response to the first one arrives. */
  @Test
  void responseToEarlierProcessIsIgnored() {
    ForwardedHeartbeat early = forward(process(7), "m-1");
    HeartbeatForwarder later = process(-4_000_000_000_000_000_000L);
    ForwardedHeartbeat late = forward(later, "m-2");
    later.receive(responseOfLeader(early, "start on m-1"));
    assertEquals(List.of(), outcomes);
    assertEquals(1, counter(later, "forwarded_responses_for_other_processes"));
    later.receive(responseOfLeader(late, "start on m-2"));
    assertEquals(List.of("m-2 start on m-2"), outcomes);
    assertEquals(1, counter(later, "forwarded_responses_ignored"));
  }

  @Test
  void responseAfterTimeoutIsIgnoredAndCountedAsOfThisProcess() {
    HeartbeatForwarder forwarder = process(7);
    ForwardedHeartbeat heartbeat = forward(forwarder, "m-1");
    scheduler.runTimers();
    forwarder.receive(responseOfLeader(heartbeat, "late"));
    assertEquals(List.of("m-1 timeout"), outcomes);
    assertEquals(1, counter(forwarder, "forwarded_responses_ignored"));
    assertEquals(0, counter(forwarder, "forwarded_responses_for_other_processes"));
  }

  @Test
  void copyOfResponseIsIgnored() {
    HeartbeatForwarder forwarder = process(7);
    ForwardedHeartbeat heartbeat = forward(forwarder, "m-1");
    forwarder.receive(responseOfLeader(heartbeat, "one"));
    forward(forwarder, "m-2");
    forwarder.receive(responseOfLeader(heartbeat, "one"));
    assertEquals(List.of("m-1 one"), outcomes);
    assertEquals(1, counter(forwarder, "forwarded_responses_ignored"));
  }

  /** The ids of an incarnation at the upper end of the range continue at the lower end. */
  @Test
  void idsThatWrapAroundBelongToTheirProcess() {
    HeartbeatForwarder forwarder = process(Long.MAX_VALUE - 1);
    forward(forwarder, "m-1");
    ForwardedHeartbeat wrapped = forward(forwarder, "m-2");
    assertEquals(Long.MIN_VALUE, wrapped.requestId());
    forwarder.receive(responseOfLeader(wrapped, "two"));
    forwarder.receive(responseOfLeader(wrapped, "two"));
    assertEquals(List.of("m-2 two"), outcomes);
    assertEquals(0, counter(forwarder, "forwarded_responses_for_other_processes"));
  }
}
