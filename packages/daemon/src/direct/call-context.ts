import type {
	AuthorityView,
	FleetView,
	RetryAllowance,
	ShutdownProgress,
	SuspectRegistry,
} from '@balsamtray/core';
import type {DirectMetrics} from './direct-metrics.js';
import type {EngineLinks} from './engine-links.js';
import type {EntryPeers} from './entry-peers.js';
import type {EventLog} from './event-log.js';
import type {KeyCounts} from './key-counts.js';
import type {CallCodec} from './types.js';
import type {Upstream} from './upstream.js';
import type {WaitingLine} from './waiting-line.js';

/** What the requests of an entry share. */
export type CallContext = {
	readonly clock: () => number;
	readonly authority: AuthorityView;
	readonly fleet: FleetView;
	readonly peers: EntryPeers;
	readonly links: EngineLinks;
	/** Requests that were present when connections to servers broke. */
	readonly suspects: SuspectRegistry;
	readonly upstream: Upstream;
	readonly waiting: WaitingLine;
	/** Requests that have a server and wait for their prompt's turn there, by adapter. */
	readonly inTurn: KeyCounts;
	readonly codec: CallCodec;
	readonly log: EventLog;
	readonly metrics: DirectMetrics;
	/** Whether what is known of the authority is recent enough to act on. */
	readonly isFresh: () => boolean;
	/** Age of the newest proof of that, undefined without one. */
	readonly proofAgeMs: () => number | undefined;
	readonly retries: (service: string) => RetryAllowance;
	/** Most connections of this entry to one server of the service. */
	readonly maxConnections: (service: string) => number;
	/** A number from 0 up to, not including, 1. */
	readonly draw: () => number;
	/** How far the shutdown is, undefined without one. */
	readonly shutdown: () => ShutdownProgress | undefined;
};
