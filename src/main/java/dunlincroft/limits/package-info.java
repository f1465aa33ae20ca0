/**
 * How a team's limit is split over shards. Each shard's part is kept in one record of the state
 * service; parts move between shards by need, as {@link dunlincroft.limits.SharePlan} decides.
 */
package dunlincroft.limits;
