package dunlincroft.limits;

import dunlincroft.protocol.Resources;

/**
 * Tasks of one job that wait only for a part of their team's limit: machines of their shard have
 * free capacity for them.
 *
 * @param shard the shard that owns the job
 * @param taskResources resources of each task
 * @param tasks how many of them could start at once
 */
public record ShareRequest(String shard, Resources taskResources, int tasks) {}
