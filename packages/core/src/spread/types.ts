import type {ConfigChange, ConfigSnapshot} from '../config/types.js';

/** Input of the decisions that keep one process's configuration up to date. */
export type SpreadEvent =
	/** A message of another process carried its version. */
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
	/** A poll of the store or a pull from a peer failed. */
	| {readonly type: 'fetchFailed'; readonly source: string}
	/** A peer answered an exchange of versions with its own. */
	| {
			readonly type: 'exchangeAnswered';
			readonly peer: string;
			readonly version: number;
	  }
	/** A peer did not answer an exchange of versions. */
	| {readonly type: 'exchangeFailed'; readonly peer: string}
	| {
			readonly type: 'peersChanged';
			/** Identifiers of the other processes that may be asked. */
			readonly peers: readonly string[];
			/** Processes in the whole fleet. */
			readonly fleetSize: number;
	  }
	| {readonly type: 'tick'};

/** Output of the decisions that keep one process's configuration up to date. */
export type SpreadCommand =
	| {readonly type: 'pollStore'; readonly afterVersion: number}
	| {
			readonly type: 'pullFromPeer';
			readonly peer: string;
			readonly afterVersion: number;
	  }
	/** Tell a peer the own version; its answer carries its version. */
	| {
			readonly type: 'exchangeVersion';
			readonly peer: string;
			readonly version: number;
	  }
	/** The configuration moved forward. */
	| {
			readonly type: 'configAdvanced';
			readonly fromVersion: number;
			readonly toVersion: number;
	  }
	/** The process has a configuration that it may serve with. */
	| {readonly type: 'ready'};
