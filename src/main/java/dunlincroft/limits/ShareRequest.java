package dunlincroft.limits;

import dunlincroft.protocol.Room;

/**
 * Tasks of one job that wait for a part of their team's limit alone: machines of their shard have
 * room for them.
 *
 * @param shard the shard that owns the job
 * @param taskResources what each task takes
 * @param tasks how many of them could start at once
 */
public record ShareRequest(String shard, Room taskResources, int tasks) {}
