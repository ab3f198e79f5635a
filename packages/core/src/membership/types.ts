/** What runs behind an agent. */
export type BackendKind =
	| {readonly kind: 'engine'; readonly baseModel: string}
	| {readonly kind: 'service'; readonly service: string};

/** State of a host in the platform's list. */
export type HostState = 'live' | 'leaving';

/** An entry host in the platform's list. */
export type EntryHost = {
	readonly role: 'entry';
	readonly id: string;
	readonly zone: string;
	readonly region: string;
	/** `address:port` at which the other processes of the system reach it. */
	readonly peerAddress: string;
	readonly state: HostState;
};

/** A backend server's agent in the platform's list. The identifier is the backend server's. */
export type AgentHost = {
	readonly role: 'agent';
	readonly id: string;
	readonly zone: string;
	readonly region: string;
	readonly peerAddress: string;
	readonly state: HostState;
	readonly backend: BackendKind;
};

/** One line of the platform's list, which lags behind what is true. */
export type Host = EntryHost | AgentHost;
