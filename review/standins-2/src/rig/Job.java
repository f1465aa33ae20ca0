package rig;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** A job as its user submits it. */
final class Job {
  final String ref;
  final String team;
  final boolean service;
  final int pieces;
  final double cpus;
  final double ramGb;
  final double runS;
  final String image;
  final double imageGb;
  String rank;
  String hall;
  boolean lendable;
  boolean spread;
  double snapshotS;
  double flushS;

  Job(String ref, String team, boolean service, int pieces, double cpus, double ramGb, double runS, String image, double imageGb) {
    this.ref = ref;
    this.team = team;
    this.service = service;
    this.pieces = pieces;
    this.cpus = cpus;
    this.ramGb = ramGb;
    this.runS = runS;
    this.image = image;
    this.imageGb = imageGb;
    this.rank = service ? "prod" : "normal";
  }

  Job rank(String value) {
    rank = value;
    return this;
  }

  Job hall(String zone) {
    hall = zone;
    return this;
  }

  Job lendable() {
    lendable = true;
    return this;
  }

  Job spread() {
    spread = true;
    return this;
  }

  Job saves(double every, double takes) {
    snapshotS = every;
    flushS = takes;
    return this;
  }

  ObjectNode toNode() {
    ObjectNode map = Wire.map();
    map.put("ref", ref).put("jobclass", service ? "order-capture" : "contract-notes");
    map.put("owner", team).put("shape", service ? "daemon" : "batch").put("rank", rank);
    map.put("pieces", pieces).put("cpus", cpus).put("gpus", 0.0).put("ramGb", ramGb);
    map.put("bundle", image).put("imageGb", imageGb).putNull("flavours");
    map.put("hall", hall).put("samePlace", false).put("spread", spread).put("lendable", lendable);
    map.put("expectS", service ? 0.0 : runS).put("snapshotS", snapshotS).put("flushS", flushS);
    return map.putNull("dueS");
  }
}
