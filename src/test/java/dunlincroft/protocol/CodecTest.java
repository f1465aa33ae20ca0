package dunlincroft.protocol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CodecTest {
  private static ObjectNode validJob() {
    return Cbor.map()
        .put("ref", "run-000412")
        .put("jobclass", "train")
        .put("owner", "vision")
        .put("shape", "batch")
        .put("rank", "urgent")
        .put("pieces", 16)
        .put("cpus", 8.0)
        .put("gpus", 1.0)
        .put("ramGb", 64.0)
        .put("bundle", "img-07")
        .put("imageGb", 6.2)
        .put("samePlace", true)
        .put("spread", false)
        .put("lendable", true)
        .put("expectS", 240.0)
        .put("snapshotS", 30.0)
        .put("flushS", 4.0);
  }

  @Property(seed = "7", tries = 300)
  void jobSpecsSurviveEncoding(
      @ForAll @IntRange(min = 1, max = 100_000) int taskCount,
      @ForAll @IntRange(min = 0, max = 64_000) int milli,
      @ForAll boolean isService,
      @ForAll boolean hasDeadline)
      throws MalformedException {
    ObjectNode map =
        validJob()
            .put("pieces", taskCount)
            .put("cpus", milli / 1000.0)
            .put("shape", isService ? "daemon" : "batch");
    if (hasDeadline) {
      map.put("dueS", 900.0).put("hall", "a").putArray("flavours").add("g8");
    }
    JobSpec spec = JobSpec.parse(Cbor.parse(Cbor.bytes(map)));
    assertThat(JobSpec.parse(Cbor.parse(Cbor.bytes(spec.toNode())))).isEqualTo(spec);
    assertThat(spec.resources().cpu()).isEqualTo(milli);
  }

  @Property(seed = "11", tries = 200)
  void pagesSurviveEncodingAndFitIntoAValue(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 97) int tasks) throws MalformedException {
    Random random = new Random(seed);
    BitSet done = new BitSet();
    List<TaskState.TaskPlacement> placements = new ArrayList<>();
    for (int task = 0; task < tasks; task++) {
      if (random.nextInt(3) == 0) {
        done.set(task);
      } else if (random.nextInt(3) > 0) {
        long attempt = (1L << 34) + random.nextInt(1 << 24);
        placements.add(
            new TaskState.TaskPlacement(
                task, String.format("host-%06d", random.nextInt(1_000_000)), attempt));
      }
    }
    boolean faulty = random.nextBoolean();
    PageRecord page =
        new PageRecord(
            new TaskState(done, new BitSet(), placements, faulty), random.nextInt(99_999));
    PageRecord record = PageRecord.parse(Cbor.parse(Cbor.bytes(page.toNode())));
    assertThat(record.upToEntry()).isEqualTo(page.upToEntry());
    TaskState parsedState = record.state();
    assertThat(parsedState.done()).isEqualTo(done);
    assertThat(parsedState.faulty()).isEqualTo(faulty);
    Set<TaskState.TaskPlacement> expectedPlacements = new HashSet<>(placements);
    assertThat(new HashSet<>(parsedState.placements())).isEqualTo(expectedPlacements);
    assertThat(page.toNode().toString().length()).isLessThan(4096);
  }

  @Test
  void blocksOfThisAndThePreviousVersionAreRead() throws MalformedException {
    BlockClass spot = new BlockClass("g8", "a", true);
    BlockRecord block =
        new BlockRecord("croft-1", spot, Map.of("host-000001", 5L, "host-000002", 6L));
    assertThat(BlockRecord.parse("b-1", Cbor.parse(Cbor.bytes(block.toNode())))).isEqualTo(block);
    assertThat(block.without(List.of("host-000001")).hosts()).containsOnlyKeys("host-000002");
    assertThat(block.subset(List.of("host-000001"), "croft-2"))
        .isEqualTo(new BlockRecord("croft-2", spot, Map.of("host-000001", 5L)));
    ObjectNode before =
        Cbor.map().put("flavour", "g8").put("hall", "a").put("lendable", true).put("at", 7);
    before.put("endpoint", "10.1.0.9:9000").put("shard", "croft-0");
    assertThat(BlockRecord.parse("host-000009", before))
        .isEqualTo(new BlockRecord("croft-0", spot, Map.of("host-000009", 7L)));
  }

  @ParameterizedTest
  @ValueSource(strings = {"run-1/-3", "run-1/", "run-1/x", "run-1/4294967295"})
  void reportWithAnImpossibleTaskNumberIsMalformed(String task) {
    ObjectNode report =
        Cbor.map()
            .put("host", "h")
            .put("endpoint", "h:1")
            .put("flavour", "g8")
            .put("hall", "a")
            .put("lendable", true)
            .put("tenure", 1)
            .put("counter", 1)
            .put("fence", 1);
    ObjectNode item = report.putArray("pieces").addObject().put("piece", task);
    item.put("try", 1).put("status", "exited").put("cause", "done");
    assertThatThrownBy(() -> WorkerReport.parse(report))
        .isInstanceOf(MalformedException.class)
        .hasMessageContaining("piece");
  }

  @Property(seed = "13", tries = 500)
  void arbitraryBytesOnlyFailToParse(@ForAll byte[] bytes) {
    try {
      JobSpec.parse(Cbor.parse(bytes));
      WorkerReport.parse(Cbor.parse(bytes));
    } catch (MalformedException e) {
      assertThat(e.getMessage()).isNotBlank();
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "ref",
        "jobclass",
        "owner",
        "shape",
        "rank",
        "pieces",
        "cpus",
        "gpus",
        "ramGb",
        "bundle",
        "imageGb",
        "samePlace",
        "spread",
        "lendable",
        "expectS",
        "snapshotS",
        "flushS"
      })
  void aMissingOrMistypedFieldIsNamed(String field) {
    ObjectNode missing = validJob();
    missing.remove(field);
    assertThatThrownBy(() -> JobSpec.parse(missing)).hasMessageContaining(field);
    ObjectNode wrong = validJob();
    wrong.putArray(field);
    assertThatThrownBy(() -> JobSpec.parse(wrong)).hasMessageContaining(field);
  }

  @Test
  void amountsMustBeFiniteAndNotNegative() {
    for (double bad : new double[] {-1, Double.NaN, Double.POSITIVE_INFINITY}) {
      assertThatThrownBy(() -> JobSpec.parse(validJob().put("cpus", bad)))
          .isInstanceOf(MalformedException.class);
    }
    assertThatThrownBy(() -> JobSpec.parse(validJob().put("pieces", 100_001)))
        .isInstanceOf(MalformedException.class);
    assertThatThrownBy(() -> JobSpec.parse(validJob().put("shape", "group")))
        .isInstanceOf(MalformedException.class);
    assertThatThrownBy(() -> Cbor.parse("{}".getBytes(StandardCharsets.UTF_8)))
        .isInstanceOf(MalformedException.class);
  }

  @Test
  void optionalFieldsMayBeLeftOut() throws MalformedException {
    JobSpec spec = JobSpec.parse(validJob());
    assertThat(spec.machineTypes()).isNull();
    assertThat(spec.requiredZone()).isNull();
    assertThat(spec.deadlineS()).isEqualTo(JobSpec.NO_DEADLINE);
  }
}
