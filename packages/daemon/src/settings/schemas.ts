import {isIP} from 'node:net';
import {z} from 'zod';

/** An address and a port to listen on or to send to. */
export type SocketAddress = {
	readonly address: string;
	readonly port: number;
};

const highestPort = 65_535;

function parseSocketAddress(text: string): SocketAddress | undefined {
	const separator = text.lastIndexOf(':');
	const address = text.slice(0, separator).replaceAll(/^\[|\]$/gv, '');
	const port = Number(text.slice(separator + 1));
	if (separator < 1 || isIP(address) === 0) {
		return undefined;
	}

	const isPort = Number.isInteger(port) && port >= 0 && port <= highestPort;
	return isPort ? {address, port} : undefined;
}

/** An `ip:port` pair. Names are not looked up. */
export const socketAddress = z.string().transform((text, context) => {
	const parsed = parseSocketAddress(text);
	if (parsed === undefined) {
		context.addIssue({
			code: 'custom',
			message: 'must be an IP number and a port, such as 127.0.0.1:8080',
		});
		return z.NEVER;
	}

	return parsed;
});

/** An identifier of a host, zone, region or environment. */
export const identifier = z
	.string()
	.regex(
		/^[\w.\-]{1,100}$/v,
		'must be 1 to 100 letters, digits, dots, hyphens or underscores',
	);

/** The address of an HTTP service without a trailing slash. */
export const httpUrl = z
	.url({protocol: /^https?$/v, error: 'must be an http or https address'})
	.transform(text => text.replace(/\/$/v, ''));

/** A whole number within bounds, with a default. */
export function wholeNumber(
	lowest: number,
	highest: number,
	defaultValue: number,
) {
	return z
		.string()
		.default(String(defaultValue))
		.transform(Number)
		.pipe(
			z
				.number({error: 'must be a whole number'})
				.int('must be a whole number')
				.min(lowest, `must be at least ${lowest}`)
				.max(highest, `must be at most ${highest}`),
		);
}

/** One of a few words, with a default. */
export function oneOf<const T extends readonly [string, ...string[]]>(
	words: T,
	defaultValue: T[number],
) {
	return z
		.string()
		.default(defaultValue)
		.pipe(z.enum(words, {error: `must be one of ${words.join(', ')}`}));
}

/** `true` or `false`, with a default. */
export function flag(defaultValue: boolean) {
	return oneOf(['true', 'false'], defaultValue ? 'true' : 'false').transform(
		word => word === 'true',
	);
}

/** An operator's key with its name and role. */
export type OperatorKey = {
	readonly name: string;
	readonly role: 'read' | 'change';
	readonly key: string;
};

const shortestOperatorKey = 16;

function parseOperatorKey(text: string): OperatorKey | undefined {
	const [name, role, key, ...rest] = text.trim().split(':');
	if (rest.length > 0 || name === undefined || key === undefined) {
		return undefined;
	}

	const isRole = role === 'read' || role === 'change';
	return isRole && key.length >= shortestOperatorKey
		? {name, role, key}
		: undefined;
}

/** Operators' keys as `NAME:ROLE:KEY`, separated by commas or line ends. */
export const operatorKeys = z
	.string()
	.default('')
	.transform((text, context) => {
		const items = text.split(/[\n,]/v).filter(item => item.trim() !== '');
		const keys = items.map(item => parseOperatorKey(item));
		if (keys.includes(undefined)) {
			// The message never repeats the text: it may hold a key.
			context.addIssue({
				code: 'custom',
				message: `must be NAME:ROLE:KEY items with ROLE read or change and a KEY of at least ${shortestOperatorKey} characters`,
			});
			return z.NEVER;
		}

		return keys.filter(key => key !== undefined);
	});
