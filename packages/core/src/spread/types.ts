import type {ConfigChange, ConfigSnapshot} from '../config/types.js';

/** Input of the configuration replica of one process. */
export type ReplicaEvent =
	/** A message from another process carried its version. */
	| {
			readonly type: 'peerVersionSeen';
			readonly peer: string;
			readonly version: number;
	  }
	| {
			readonly type: 'changesReceived';
			/** `store` or the identifier of a peer. */
			readonly source: string;
			readonly changes: readonly ConfigChange[];
	  }
	| {
			readonly type: 'snapshotReceived';
			readonly source: string;
			readonly snapshot: ConfigSnapshot;
	  }
	/** A poll of the store or a pull from a peer failed. `source` is as in `changesReceived`. */
	| {readonly type: 'fetchFailed'; readonly source: string}
	/** A peer answered a version exchange with its own version. */
	| {
			readonly type: 'exchangeAnswered';
			readonly peer: string;
			readonly version: number;
	  }
	/** A peer did not answer a version exchange. */
	| {readonly type: 'exchangeFailed'; readonly peer: string}
	| {
			readonly type: 'peersChanged';
			/** Identifiers of the processes that may be contacted. */
			readonly peers: readonly string[];
			/** Number of processes in the whole fleet. */
			readonly fleetSize: number;
	  }
	| {readonly type: 'tick'};

/** Output of the configuration replica of one process. */
export type ReplicaCommand =
	| {readonly type: 'pollStore'; readonly afterVersion: number}
	| {
			readonly type: 'pullFromPeer';
			readonly peer: string;
			readonly afterVersion: number;
	  }
	/** Sends this process's version to a peer, whose answer carries the peer's version. */
	| {
			readonly type: 'exchangeVersion';
			readonly peer: string;
			readonly version: number;
	  }
	/** The configuration advanced to a higher version. */
	| {
			readonly type: 'configAdvanced';
			readonly fromVersion: number;
			readonly toVersion: number;
	  }
	/** The process is ready to serve requests with its configuration. Sent once. */
	| {readonly type: 'ready'};
