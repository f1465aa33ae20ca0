package dunlincroft.limits;

import dunlincroft.protocol.Room;

/** A part of a team's limit that one shard transfers to another. */
public record Transfer(String from, String to, Room amount) {}
