import {z} from 'zod';
import {
	booleanText,
	httpUrl,
	identifier,
	oneOf,
	operatorKeys,
	socketAddress,
	integerInRange,
	optionalIntegerFrom,
} from './schemas.js';
import type {SettingDefinition} from './types.js';

const secondMs = 1000;
const minuteMs = 60 * secondMs;
const mebibyte = 1024 * 1024;

/** Checks the shape of the definitions and keeps the value type of each one. */
function defineSettings<
	const T extends Readonly<Record<string, SettingDefinition>>,
>(definitions: T): T {
	return definitions;
}

/** Settings of both roles. Flag (`--host-id`) and variable (`BALSAMTRAY_HOST_ID`) are derived from the name (`hostId`). */
export const commonDefinitions = defineSettings({
	hostId: {
		description:
			'Identifier of this host; for an agent, that of its backend server',
		form: 'NAME',
		schema: identifier,
	},
	zone: {
		description: 'Availability zone of this host',
		form: 'NAME',
		schema: identifier,
	},
	region: {
		description: 'Region of this host',
		form: 'NAME',
		schema: identifier.default('main'),
	},
	environment: {
		description:
			'Environment whose configuration applies, such as trial or production',
		form: 'NAME',
		schema: identifier.default('production'),
	},
	peerListen: {
		description:
			'Address at which other processes of the system reach this one, as listed by the platform',
		form: 'IP:PORT',
		schema: socketAddress,
	},
	tableUrl: {
		description: 'Address of the platform’s table service',
		form: 'URL',
		schema: httpUrl,
	},
	objectUrl: {
		description: 'Address of the platform’s object store',
		form: 'URL',
		schema: httpUrl,
	},
	hostsUrl: {
		description: 'Address of the platform’s list of hosts',
		form: 'URL',
		schema: httpUrl,
	},
	transport: {
		description:
			'How callers, operators and other processes reach this one: plain TCP or TLS (mutual between processes)',
		form: 'plain|tls',
		schema: oneOf(['plain', 'tls'], 'plain'),
	},
	tlsCertFile: {
		description: 'Certificate chain in PEM; read again when it changes',
		form: 'FILE',
		schema: z.string().optional(),
	},
	tlsKeyFile: {
		description: 'Private key in PEM; read again when it changes',
		form: 'FILE',
		schema: z.string().optional(),
	},
	tlsCaFile: {
		description:
			'CA certificates in PEM that the certificates of the other processes are checked against',
		form: 'FILE',
		schema: z.string().optional(),
	},
	logLevel: {
		description: 'Lowest level of log lines that are written',
		form: 'info|warn|error',
		schema: oneOf(['info', 'warn', 'error'], 'info'),
	},
	statsdAddress: {
		description:
			'Address that StatsD metrics are sent to over UDP; no metrics are sent without it',
		form: 'IP:PORT',
		schema: socketAddress.optional(),
	},
	traces: {
		description: 'Destination of traces',
		form: 'off|console|otlp',
		schema: oneOf(['off', 'console', 'otlp'], 'off'),
	},
	otlpUrl: {
		description: 'Address of the OTLP collector for traces',
		form: 'URL',
		schema: httpUrl.optional(),
	},
	shutdownGraceMs: {
		description:
			'Maximum time that running requests get to finish after a stop signal, in milliseconds',
		form: 'NUMBER',
		schema: integerInRange(0, 60 * minuteMs, 10 * minuteMs),
	},
});

/** Settings of the role entry only. */
export const entryDefinitions = defineSettings({
	listen: {
		description: 'Address at which callers reach this entry',
		form: 'IP:PORT',
		schema: socketAddress,
	},
	operatorListen: {
		description: 'Address at which operators reach this entry',
		form: 'IP:PORT',
		schema: socketAddress,
	},
	operatorKeys: {
		description: 'Operators’ keys; the roles are read and change',
		form: 'NAME:ROLE:KEY,…',
		schema: operatorKeys,
		isSecret: true,
	},
	operatorKeysFile: {
		description: 'File with operators’ keys, one NAME:ROLE:KEY per line',
		form: 'FILE',
		schema: z.string().optional(),
	},
	bodyLimitBytes: {
		description: 'Maximum body of a caller’s request, in bytes',
		form: 'NUMBER',
		schema: integerInRange(1024, 256 * mebibyte, 4 * mebibyte),
	},
	hostMemoryBytes: {
		description:
			'Memory that this process may take, in bytes, from which the bounds on what it keeps for callers are derived; that of the host without it',
		form: 'NUMBER',
		schema: optionalIntegerFrom(64 * mebibyte),
	},
	deadlineMs: {
		description:
			'Deadline for the start of a response if the caller sets none, in milliseconds',
		form: 'NUMBER',
		schema: integerInRange(100, 15 * minuteMs, 30 * secondMs),
	},
	idleTimeoutMs: {
		description:
			'Time after which a caller’s idle connection is closed, in milliseconds',
		form: 'NUMBER',
		schema: integerInRange(secondMs, 60 * minuteMs, minuteMs),
	},
	headerTimeoutMs: {
		description:
			'Time within which a caller must send the headers of a request, in milliseconds',
		form: 'NUMBER',
		schema: integerInRange(100, minuteMs, 10 * secondMs),
	},
});

/** Settings of the role agent only. */
export const agentDefinitions = defineSettings({
	backendKind: {
		description: 'Kind of backend server beside this agent',
		form: 'engine|service',
		schema: oneOf(['engine', 'service'], 'engine'),
	},
	backendUrl: {
		description: 'Address of the engine or plain service beside this agent',
		form: 'URL',
		schema: httpUrl,
	},
	baseModel: {
		description: 'Base model of the engine',
		form: 'NAME',
		schema: identifier.optional(),
	},
	service: {
		description: 'Name of the plain service',
		form: 'NAME',
		schema: identifier.optional(),
	},
	adapterSlots: {
		description: 'Maximum number of adapters that the engine holds at once',
		form: 'NUMBER',
		schema: integerInRange(1, 10_000, 8),
	},
	maxRunning: {
		description:
			'Maximum number of requests that the backend server runs at once when warm',
		form: 'NUMBER',
		schema: integerInRange(1, 10_000, 16),
	},
	coldRunning: {
		description:
			'Maximum number of requests that the backend server runs at once right after a start',
		form: 'NUMBER',
		schema: integerInRange(1, 10_000, 2),
	},
	checksFencing: {
		description:
			'Whether the backend server refuses orders with an outdated fencing token',
		form: 'true|false',
		schema: booleanText(false),
	},
});
