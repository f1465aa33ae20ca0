package dunlincroft.coordination;

/** Why a request was answered with status 503. Operators see the causes in the logged metrics. */
public enum UnavailableCause {
  /** The keys of the state service have not been read yet, or must be read again. */
  NOT_SYNCED,
  /** The state service has not answered for too long. */
  OUT_OF_TOUCH,
  /** The read barrier was not answered, or did not fit into the request budget. */
  NO_BARRIER,
  /** A key that the replica has evicted could not be looked up in the state service. */
  NO_LOOKUP,
  /** No machine types are known yet, or no shard has leased machines. */
  NO_OWNER,
  /** Admission control: more submissions arrive than can be accepted, and this one has to wait. */
  NO_TURN,
  /** The write was admitted but did not fit into the write budget. */
  NO_BUDGET,
  /** The write was sent and not answered: whether it was applied is not known. */
  NO_ANSWER,
  /**
   * This controller has promised its peers for a limited time to report no cancellation that they
   * do not know.
   */
  PROMISED,
  /**
   * For a worker: its machine belongs to no block yet. The machine is adopted, and the worker
   * retries.
   */
  NEW_MACHINE,
  /** For a worker: a cancellation that was reported to a user might not be known here. */
  UNSURE_OF_CANCELS
}
