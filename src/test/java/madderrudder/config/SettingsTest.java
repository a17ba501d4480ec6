package madderrudder.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import madderrudder.coordination.policy.OperatorPolicy;
import madderrudder.coordination.policy.TeamQuota;
import madderrudder.protocol.Resources;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

public class SettingsTest {
  /** What the platform hands over, with a field that nobody knows. */
  public static final String GOOD =
      """
            {"member":"n-0","zone":"east","client_listen":"127.0.0.1:8080","mesh_addr":"127.0.0.1:8081","later":{},
             "members":[{"member":"n-1","zone":"west","peer_addr":"127.0.0.1:8082"}],
             "external":{"cloud":"127.0.0.1:8443","state":"127.0.0.1:2379"},
             "deployment":{"zones":["east","west"],
              "teams":[{"name":"alto","cpus":32.0,"cpus_max":72.0,"gpus":0.0,"gpus_max":0.0}],
              "workers":{"report_s":2.0,"lease_s":14.0,"gang_wait_s":35.0,"gang_peer_s":4.0,"cancel_s":44.0},
              "state":{"rps":200.0,"write_rps":80.0,"value_kb":16.0,"txn_ops":48},
              "cloud":{"rps":2.0,"list_lag_s":4.0},"limits":{"max_sockets":900},"clock_off_ms":250.0}}
            """;

  private static PlatformSettings parse(String text) throws PlatformSettings.Invalid {
    return PlatformSettings.parse(text.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void readsWhatThePlatformHandsOver() throws PlatformSettings.Invalid {
    PlatformSettings settings = parse(GOOD);
    assertEquals(14_000_000, settings.deployment().workers().leaseMicros());
    assertEquals(2, settings.deployment().members());
    assertEquals(900, settings.maxSockets());
  }

  /** Teams shared out by accelerators alone have a limit of 0 processors, which stands for none. */
  @Test
  void aLimitOfNoneLeavesTheResourceFree() throws PlatformSettings.Invalid {
    TeamQuota team =
        parse(
                GOOD.replace(
                    "\"cpus\":32.0,\"cpus_max\":72.0,\"gpus\":0.0,\"gpus_max\":0.0",
                    "\"cpus\":0.0,\"cpus_max\":0.0,\"gpus\":9.0,\"gpus_max\":20.0"))
            .deployment()
            .teams()
            .get("alto");
    assertTrue(team.allows(Resources.of(5_000, 20, 0)));
    assertFalse(team.allows(Resources.of(1, 21, 0)));
    assertTrue(team.guarantees(Resources.of(5_000, 9, 0)));
    assertFalse(team.guarantees(Resources.of(1, 10, 0)));
    TeamQuota free =
        parse(GOOD.replace("\"cpus\":32.0", "\"cpus\":0.0")).deployment().teams().get("alto");
    assertFalse(free.guarantees(Resources.of(1, 0, 0)));
    assertFalse(free.allows(Resources.of(73, 0, 0)));
  }

  @Test
  void namesEveryProblemAtOnce() {
    PlatformSettings.Invalid invalid =
        assertThrows(
            PlatformSettings.Invalid.class,
            () ->
                parse(
                    GOOD.replace("\"lease_s\":14.0", "\"lease_s\":0")
                        .replace("127.0.0.1:8443", "cloud:8443")
                        .replace("\"zone\":\"east\",", "")
                        .replace("\"txn_ops\":48", "\"txn_ops\":1")));
    String all = String.join("\n", invalid.problems());
    for (String field : new String[] {"lease_s", "external.cloud", "zone", "txn_ops"}) {
      assertTrue(all.contains(field), all);
    }
    assertEquals(4, invalid.problems().size(), all);
  }

  @Test
  void refusesTimesWithoutASafeBound() {
    PlatformSettings.Invalid invalid =
        assertThrows(
            PlatformSettings.Invalid.class,
            () -> parse(GOOD.replace("\"cancel_s\":44.0", "\"cancel_s\":18.0")));
    assertTrue(invalid.getMessage().contains("cancel_s"));
  }

  @Test
  void readsTheOperatorsFile() throws SExpression.Malformed {
    OperatorPolicy policy =
        OperatorSettings.parse(
            "; ours\n(madderrudder (threshold-s 2.5) (budget \"7\") (spot never))");
    assertEquals(2_500_000, policy.thresholdMicros());
    assertEquals(7, policy.budget());
    assertEquals(OperatorPolicy.SpotMode.NEVER, policy.spotMode());
    assertEquals(OperatorPolicy.defaults().idleMicros(), policy.idleMicros());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "(madderrudder|line 1, column 1",
        "(madderrudder (budget x))|column 23",
        "(madderrudder (budgett 1))|column 16",
        "(other)|expected (madderrudder",
        "(madderrudder) 1|column 16",
        "(madderrudder (budget 1) (budget 2))|set twice",
        "(madderrudder (idle-s -1))|expected a number",
        "(madderrudder (spot \"x))|string without end",
        "''|expected an expression",
        ")|unexpected )"
      })
  void pointsAtMistakesInTheOperatorsFile(String text, String complaint) {
    SExpression.Malformed malformed =
        assertThrows(SExpression.Malformed.class, () -> OperatorSettings.parse(text));
    assertTrue(malformed.getMessage().contains(complaint), malformed.getMessage());
  }
}
