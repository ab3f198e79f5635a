/** Kind of the backend server behind an agent. */
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
	/** `address:port` for calls from other processes of the system. */
	readonly peerAddress: string;
	readonly state: HostState;
};

/** A backend server's agent in the platform's list. Its identifier is that of the backend server. */
export type AgentHost = {
	readonly role: 'agent';
	readonly id: string;
	readonly zone: string;
	readonly region: string;
	readonly peerAddress: string;
	readonly state: HostState;
	readonly backend: BackendKind;
};

/** An entry of the platform's list of hosts. The list lags behind the actual state. */
export type Host = EntryHost | AgentHost;
