import type {
	AdapterLoadTimes,
	AuthorityView,
	FleetView,
	SuspectRegistry,
} from '@balsamtray/core';
import type {AbortiveClose} from '../common/abortive-close.js';
import type {DepartingCalls} from './departing-calls.js';
import type {DirectMetrics} from './direct-metrics.js';
import type {AgentClient} from './agent-client.js';
import type {EntryPeers} from './entry-peers.js';
import type {EntryShutdown} from './entry-shutdown.js';
import type {EventLog} from './event-log.js';
import type {KeyCounts} from './key-counts.js';
import type {PartQuarantine} from './part-quarantine.js';
import type {RequestQuarantine} from './request-quarantine.js';
import type {StreamDirectory} from './stream-directory.js';
import type {CallCodec} from './types.js';
import type {ServerLimitTask} from './server-limit-task.js';
import type {ServiceRetries} from './service-retries.js';
import type {SentCalls} from './sent-calls.js';
import type {Upstream} from './upstream.js';
import type {UsageTask} from './usage-task.js';
import type {WaitQueue} from './wait-queue.js';

/** State and services that all requests of an entry share. */
export type CallContext = {
	/** Monotonic clock, in milliseconds. */
	readonly clock: () => number;
	readonly authority: AuthorityView;
	readonly fleet: FleetView;
	readonly loadTimes: AdapterLoadTimes;
	readonly peers: EntryPeers;
	readonly streams: StreamDirectory;
	readonly agentClient: AgentClient;
	/** Requests that were running on a server when its connection broke, and may have crashed it. */
	readonly suspects: SuspectRegistry;
	readonly requestQuarantine: Pick<RequestQuarantine, 'noteUnanswered'>;
	/** Parts of prompts under which servers ended. */
	readonly partQuarantine: PartQuarantine;
	readonly upstream: Upstream;
	/** Limits that servers name. */
	readonly serverLimits: Pick<ServerLimitTask, 'take' | 'note'>;
	readonly waitQueue: WaitQueue;
	/** Requests that are assigned to a server and wait for prefill there, counted by adapter. */
	readonly prefillWaiting: KeyCounts;
	/** Requests for adapters that were sent to a server and have not begun. */
	readonly sentCalls: SentCalls;
	/** Requests that could move away from their servers. */
	readonly departing: Pick<DepartingCalls, 'add'>;
	readonly codec: CallCodec;
	readonly log: EventLog;
	readonly metrics: DirectMetrics;
	/** Makes the system reset a connection if the process ends. */
	readonly abortiveClose: Pick<AbortiveClose, 'set'>;
	/** Whether all changes that must be in force are known, so that an unknown route or key does not exist. */
	readonly isCurrent: () => boolean;
	/** Whether the authority statements are proven recent enough to act on. */
	readonly isFresh: () => boolean;
	/** Clock epoch. It increases when the host may have been suspended, see `SuspensionDetector`. */
	readonly epoch: () => number;
	/** Age of the newest freshness proof, in milliseconds; undefined without a proof. */
	readonly proofAgeMs: () => number | undefined;
	/** Counts requests that begin to run; undefined in a deployment that reports no usage. */
	readonly usage: Pick<UsageTask, 'countBegun'> | undefined;
	readonly retries: Pick<
		ServiceRetries,
		'noteRequest' | 'tryTake' | 'noteSent' | 'giveBack'
	>;
	/** Maximum number of connections from this entry to one server of the service. */
	readonly maxConnections: (service: string) => number;
	/** Called when a response says that its server is leaving, which is news. */
	readonly onServerLeaving: (server: string) => void;
	/** Called when a server was left, since what it sends does not end. */
	readonly onEndlessResponse: (server: string, err: Error) => void;
	/** Whether a request that is read now may have been sent during a stall of this process, long before. */
	readonly isCatchingUp: () => boolean;
	/** Random number in [0, 1). */
	readonly random: () => number;
	readonly shutdown: Pick<EntryShutdown, 'isStopping' | 'hasEnded' | 'accepts'>;
};
