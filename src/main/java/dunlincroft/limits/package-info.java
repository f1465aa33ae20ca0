/**
 * Distribution of a team's limit over shards. Each shard's part is kept in one record of the state
 * service; parts are transferred between shards by need, as decided by {@link
 * dunlincroft.limits.SharePlan}.
 */
package dunlincroft.limits;
