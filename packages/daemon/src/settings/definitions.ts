import {z} from 'zod';
import {
	flag,
	httpUrl,
	identifier,
	oneOf,
	operatorKeys,
	socketAddress,
	wholeNumber,
} from './schemas.js';
import type {SettingDefinition} from './types.js';

const secondMs = 1000;
const minuteMs = 60 * secondMs;
const mebibyte = 1024 * 1024;

/** Keeps the value type of each definition while checking its shape. */
function define<const T extends Readonly<Record<string, SettingDefinition>>>(
	definitions: T,
): T {
	return definitions;
}

/** Settings of both roles. The name in camel case gives flag (`--host-id`) and variable (`BALSAMTRAY_HOST_ID`). */
export const commonDefinitions = define({
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
			'Where other processes of the system reach this one, as listed by the platform',
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
			'Certificates in PEM that vouch for the other processes of the system',
		form: 'FILE',
		schema: z.string().optional(),
	},
	logLevel: {
		description: 'Least level of the log lines that are written',
		form: 'info|warn|error',
		schema: oneOf(['info', 'warn', 'error'], 'info'),
	},
	statsdAddress: {
		description: 'Where metrics go over UDP; without it there are none',
		form: 'IP:PORT',
		schema: socketAddress.optional(),
	},
	traces: {
		description: 'Where traces go',
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
			'Longest time that running requests get after a signal to stop, in milliseconds',
		form: 'NUMBER',
		schema: wholeNumber(0, 60 * minuteMs, 10 * minuteMs),
	},
});

/** Settings of the role entry alone. */
export const entryDefinitions = define({
	listen: {
		description: 'Where callers reach this entry',
		form: 'IP:PORT',
		schema: socketAddress,
	},
	operatorListen: {
		description: 'Where operators reach this entry',
		form: 'IP:PORT',
		schema: socketAddress,
	},
	operatorKeys: {
		description: 'Keys of operators; roles are read and change',
		form: 'NAME:ROLE:KEY,…',
		schema: operatorKeys,
		isSecret: true,
	},
	operatorKeysFile: {
		description: 'File with keys of operators, one NAME:ROLE:KEY a line',
		form: 'FILE',
		schema: z.string().optional(),
	},
	bodyLimitBytes: {
		description: 'Largest body of a caller’s request, in bytes',
		form: 'NUMBER',
		schema: wholeNumber(1024, 256 * mebibyte, 4 * mebibyte),
	},
	deadlineMs: {
		description:
			'Time in which an answer must have started where the caller names none, in milliseconds',
		form: 'NUMBER',
		schema: wholeNumber(100, 15 * minuteMs, 30 * secondMs),
	},
	idleTimeoutMs: {
		description:
			'Time after which a silent connection of a caller is closed, in milliseconds',
		form: 'NUMBER',
		schema: wholeNumber(secondMs, 60 * minuteMs, minuteMs),
	},
	headerTimeoutMs: {
		description:
			'Time in which a caller must have sent the headers of a request, in milliseconds',
		form: 'NUMBER',
		schema: wholeNumber(100, minuteMs, 10 * secondMs),
	},
});

/** Settings of the role agent alone. */
export const agentDefinitions = define({
	backendKind: {
		description: 'What stands beside this agent',
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
		description: 'Adapters that the engine holds at once',
		form: 'NUMBER',
		schema: wholeNumber(1, 10_000, 8),
	},
	maxRunning: {
		description: 'Requests that the warm backend server runs at once',
		form: 'NUMBER',
		schema: wholeNumber(1, 10_000, 16),
	},
	coldRunning: {
		description: 'Requests that the backend server bears at once after a start',
		form: 'NUMBER',
		schema: wholeNumber(1, 10_000, 2),
	},
	checksFencing: {
		description:
			'Whether the backend server refuses orders with an old fencing number',
		form: 'true|false',
		schema: flag(false),
	},
});
