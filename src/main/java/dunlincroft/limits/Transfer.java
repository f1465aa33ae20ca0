package dunlincroft.limits;

import dunlincroft.protocol.Resources;

/** A part of a team's limit that one shard transfers to another. */
public record Transfer(String from, String to, Resources amount) {}
