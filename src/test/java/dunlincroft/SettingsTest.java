package dunlincroft;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dunlincroft.protocol.MalformedException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsTest {
  private static final String VALID =
      """
      {"node_name":"n0","site":"a","listen":"10.0.0.1:8080","back":"10.0.0.1:8081","later":1,
       "others":[{"node_name":"n1","site":"b","address":"10.0.0.2:8081"}],
       "endpoints":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},
       "deployment":{"zones":["a","b"],
        "teams":[{"name":"red","cpus":20.0,"cpus_max":0.0,"gpus":0.0,"gpus_max":2.0}],
        "workers":{"report_s":2.0,"lease_s":20.0,"cancel_s":45.0},
        "state":{"rps":200.0,"write_rps":60.0,"value_kb":4.0,"txn_ops":8},
        "cloud":{"rps":10.0,"list_lag_s":5.0}}}
      """;

  @Test
  void validFileIsParsedAndUnknownFieldsAreIgnored() throws MalformedException {
    Settings settings = Settings.parse(VALID);
    assertThat(settings.peers()).hasSize(1);
    assertThat(settings.stateEndpoint()).isEqualTo("10.2.0.1:2379");
    assertThat(settings.teams().get("red").limit().gpu()).isEqualTo(2000);
    assertThat(settings.teams().get("red").limit().cpu())
        .as("a limit of 0 means none")
        .isGreaterThan(1_000_000_000L);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "\"lease_s\":20.0 | \"lease_s\":0 | deployment.workers.lease_s",
        "\"rps\":200.0 | \"rps\":\"x\" | deployment.state.rps",
        "\"listen\":\"10.0.0.1:8080\" | \"listen\":\"here:80\" | listen",
        "\"txn_ops\":8 | \"txn_ops\":1 | deployment.state.txn_ops",
        "\"name\":\"red\" | \"nome\":\"red\" | deployment.teams.name",
        "\"endpoints\" | \"ends\" | endpoints",
        "\"address\":\"10.0.0.2:8081\" | \"address\":7 | others.address"
      })
  void invalidFieldIsNamedInTheError(String valid, String invalid, String field) {
    assertThatThrownBy(() -> Settings.parse(VALID.replace(valid, invalid)))
        .isInstanceOf(MalformedException.class)
        .hasMessageContaining(field);
  }

  @Test
  void sizesAreThoseOfTheLowerLimits() throws MalformedException {
    Settings settings =
        Settings.parse(
            VALID.replace(
                "\"txn_ops\":8",
                "\"txn_ops\":8,\"next\":{\"value_kb\":2.0,\"txn_ops\":5,\"write_rps\":40}"));
    assertThat(settings.maxValueKib()).isEqualTo(2);
    assertThat(settings.maxTxnOps()).isEqualTo(5);
    assertThat(settings.stateWriteRps()).isEqualTo(60);
    assertThat(settings.nextStateWriteRps()).isEqualTo(40);
    assertThat(settings.nextStateRps()).isEqualTo(200);
  }

  @Test
  void malformedJsonIsReportedWithItsLine() {
    assertThatThrownBy(() -> Settings.parse("{\n \"a\": }")).hasMessageContaining("line 2");
  }
}
