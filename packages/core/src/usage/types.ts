/** Requests that began to run, by customer. */
export type UsageCounts = Readonly<Record<string, number>>;

/** Cumulative counts of one process for one window. */
export type WindowCounts = {
	readonly window: number;
	/** All counts or, if they do not fit into one datagram, some of them. */
	readonly counts: UsageCounts;
	/** Sum of all counts, once no more are expected. Absent before. */
	readonly closedTotal?: number;
};

/** What this process has counted for one window. */
export type OwnWindow = {
	readonly window: number;
	readonly counts: UsageCounts;
	readonly total: number;
	/** Whether no more counts are expected. */
	readonly isClosed: boolean;
};

/** Counts of one process of an entry. */
export type Contribution = {
	readonly host: string;
	/** Start of the process, in milliseconds since the epoch by its own clock, which tells the processes of a host apart. */
	readonly born: number;
	/** Window of the start of the process. It has nothing to tell about earlier ones. */
	readonly since: number;
	readonly windows: readonly WindowCounts[];
	/** Whether a collector passes the counts of a process on that has ended. */
	readonly isRelayed?: boolean;
};

/** A row of a decided window. */
export type UsageRow = {
	readonly window: number;
	readonly counts: UsageCounts;
	/** True time at which the platform acknowledged the report, in milliseconds since the epoch. Absent before. */
	readonly acknowledgedAt?: number;
};

/** Parameters of the usage duty. */
export type UsageTimes = {
	/** Length of a window, in milliseconds. */
	readonly windowMs: number;
	/** Time from the end of a window until its report is due, in milliseconds. */
	readonly lateMs: number;
};

/** Clocks of a process at one moment. */
export type Clocks = {
	/** Monotonic time, in milliseconds. */
	readonly now: number;
	/** Own wall clock, in milliseconds since the epoch. */
	readonly wallMs: number;
	/** Clock epoch. It rises when the monotonic clock may have stopped. */
	readonly epoch: number;
};

/** The holder of a duty as far as an entry knows. A higher token is newer. */
export type KnownHolder = {readonly host: string; readonly token: number};

/** Acknowledges ended windows of a process, and tells what the collector knows of the duty. */
export type ContributionAck = {
	/** The collector, and the start of its process. */
	readonly from: string;
	readonly fromBorn: number;
	/** The process that contributed. */
	readonly host: string;
	readonly born: number;
	/** Windows of which the collector has all counts, with their totals. */
	readonly totals: ReadonlyArray<readonly [window: number, total: number]>;
	/** Windows up to this one are decided and need not be sent. Absent if the collector does not hold the duty. */
	readonly decidedTo?: number;
	readonly holder?: KnownHolder;
};
