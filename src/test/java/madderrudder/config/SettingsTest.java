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

/**
 * Guards against settings that are misread, invalid settings that are accepted, and errors that do
 * not say where or why a value is invalid. Covers the parsers of both settings files.
 */
public class SettingsTest {
  /** Valid platform settings, with one unknown field: {@code later}. */
  public static final String VALID_PLATFORM_SETTINGS =
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

  private static PlatformSettings parse(String text) throws InvalidSettingsException {
    return PlatformSettings.parse(text.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void readsPlatformSettings() throws InvalidSettingsException {
    PlatformSettings settings = parse(VALID_PLATFORM_SETTINGS);
    assertEquals(14_000_000, settings.deployment().workers().leaseMicros());
    assertEquals(2, settings.deployment().controllerCount());
    assertEquals(900, settings.maxSockets());
  }

  private static TeamQuota altoQuota(String text) throws InvalidSettingsException {
    return parse(text).deployment().teams().get("alto");
  }

  /** A quota for accelerators alone sets the limit of processors to 0, which means no limit. */
  @Test
  void quotaOfZeroLeavesResourceUnlimited() throws InvalidSettingsException {
    TeamQuota quota =
        altoQuota(
            VALID_PLATFORM_SETTINGS.replace(
                "\"cpus\":32.0,\"cpus_max\":72.0,\"gpus\":0.0,\"gpus_max\":0.0",
                "\"cpus\":0.0,\"cpus_max\":0.0,\"gpus\":9.0,\"gpus_max\":20.0"));
    assertTrue(quota.allows(Resources.of(5_000, 20, 0)));
    assertFalse(quota.allows(Resources.of(1, 21, 0)));
    assertTrue(quota.guarantees(Resources.of(5_000, 9, 0)));
    assertFalse(quota.guarantees(Resources.of(1, 10, 0)));
  }

  @Test
  void teamWithoutGuaranteeIsGuaranteedNothing() throws InvalidSettingsException {
    TeamQuota quota = altoQuota(VALID_PLATFORM_SETTINGS.replace("\"cpus\":32.0", "\"cpus\":0.0"));
    assertFalse(quota.guarantees(Resources.of(1, 0, 0)));
    assertFalse(quota.allows(Resources.of(73, 0, 0)));
  }

  @Test
  void reportsAllProblemsAtOnce() {
    InvalidSettingsException invalid =
        assertThrows(
            InvalidSettingsException.class,
            () ->
                parse(
                    VALID_PLATFORM_SETTINGS
                        .replace("\"lease_s\":14.0", "\"lease_s\":0")
                        .replace("127.0.0.1:8443", "cloud:8443")
                        .replace("\"zone\":\"east\",", "")
                        .replace("\"txn_ops\":48", "\"txn_ops\":1")));
    String problems = String.join("\n", invalid.problems());
    for (String field : new String[] {"lease_s", "external.cloud", "zone", "txn_ops"}) {
      assertTrue(problems.contains(field), problems);
    }
    assertEquals(4, invalid.problems().size(), problems);
  }

  @ParameterizedTest
  @CsvSource({
    "127.0.0.1:8443, cloud:8443, external.cloud: \"cloud:8443\"",
    "127.0.0.1:8082, nowhere, members[0].peer_addr: \"nowhere\"",
    "report_s\":2.0, report_s\":0, 'deployment.workers.report_s: must be above 0, not 0.0'",
    "cpus_max\":72.0, cpus_max\":1e-12, "
        + "'deployment.teams[0].cpus_max: must be 0 or at least 1e-9, not 1.0E-12'",
    "cpus_max\":72.0, cpus_max\":-1, 'deployment.teams[0]: field cpus_max is missing or invalid'",
    "txn_ops\":48, txn_ops\":7, 'deployment.state.txn_ops: must be at least 8, not 7'",
    "value_kb\":16.0, value_kb\":2.5, 'deployment.state.value_kb: must be at least 4, not 2.5'"
  })
  void problemNamesSettingAndValue(String validText, String invalidText, String problem) {
    InvalidSettingsException invalid =
        assertThrows(
            InvalidSettingsException.class,
            () -> parse(VALID_PLATFORM_SETTINGS.replace(validText, invalidText)));
    assertEquals(1, invalid.problems().size(), invalid.getMessage());
    assertTrue(invalid.problems().get(0).startsWith(problem), invalid.getMessage());
  }

  @Test
  void rejectsWorkerTimesWithoutSafeBound() {
    InvalidSettingsException invalid =
        assertThrows(
            InvalidSettingsException.class,
            () -> parse(VALID_PLATFORM_SETTINGS.replace("\"cancel_s\":44.0", "\"cancel_s\":18.0")));
    assertTrue(invalid.getMessage().contains("cancel_s"));
  }

  @Test
  void readsOperatorSettings() throws MalformedSExpressionException {
    OperatorPolicy policy =
        OperatorSettings.parse(
            "; ours\n(madderrudder (threshold-s 2.5) (budget \"7\") (spot never))");
    assertEquals(2_500_000, policy.rentalThresholdMicros());
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
        "(madderrudder (idle-s -1))|expected a number from 1.0 to 86400.0, not \"-1\"",
        "(madderrudder (deputies yes))|expected on or off, not \"yes\"",
        "(madderrudder (spot often))|expected never, uncounted or always, not \"often\"",
        "(madderrudder (spot \"x))|unterminated string",
        "''|expected an expression",
        ")|unexpected )"
      })
  void operatorSettingsErrorHasPositionOrReason(String text, String expected) {
    MalformedSExpressionException malformed =
        assertThrows(MalformedSExpressionException.class, () -> OperatorSettings.parse(text));
    assertTrue(malformed.getMessage().contains(expected), malformed.getMessage());
  }
}
