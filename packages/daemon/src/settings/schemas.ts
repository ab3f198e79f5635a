import {isIP} from 'node:net';
import {z} from 'zod';

/** An IP address and a port to listen on or send to. */
export type SocketAddress = {
	readonly address: string;
	readonly port: number;
};

const maxPort = 65_535;

function parseSocketAddress(text: string): SocketAddress | undefined {
	const separator = text.lastIndexOf(':');
	const address = text.slice(0, separator).replaceAll(/^\[|\]$/gv, '');
	const port = Number(text.slice(separator + 1));
	if (separator < 1 || isIP(address) === 0) {
		return undefined;
	}

	const isPort = Number.isInteger(port) && port >= 0 && port <= maxPort;
	return isPort ? {address, port} : undefined;
}

/** An `ip:port` pair. Host names are not accepted. */
export const socketAddress = z.string().transform((text, context) => {
	const parsed = parseSocketAddress(text);
	if (parsed === undefined) {
		context.addIssue({
			code: 'custom',
			message: 'must be an IP address and a port, such as 127.0.0.1:8080',
		});
		return z.NEVER;
	}

	return parsed;
});

/** Identifier of a host, zone, region, environment, base model or service. */
export const identifier = z
	.string()
	.regex(
		/^[\w.\-]{1,100}$/v,
		'must be 1 to 100 letters, digits, dots, hyphens or underscores',
	);

/** URL of an HTTP service. A trailing slash is removed. */
export const httpUrl = z
	.url({protocol: /^https?$/v, error: 'must be an http or https URL'})
	.transform(text => text.replace(/\/$/v, ''));

/** An integer within inclusive bounds, with a default. */
export function integerInRange(min: number, max: number, defaultValue: number) {
	return z
		.string()
		.default(String(defaultValue))
		.transform(Number)
		.pipe(
			z
				.number({error: 'must be an integer'})
				.int('must be an integer')
				.min(min, `must be at least ${min}`)
				.max(max, `must be at most ${max}`),
		);
}

/** An integer that may be left out. */
export function optionalIntegerFrom(min: number) {
	return z
		.string()
		.transform(Number)
		.pipe(
			z
				.number({error: 'must be an integer'})
				.int('must be an integer')
				.min(min, `must be at least ${min}`),
		)
		.optional();
}

/** One of the given words, with a default. */
export function oneOf<const T extends readonly [string, ...string[]]>(
	words: T,
	defaultValue: T[number],
) {
	return z
		.string()
		.default(defaultValue)
		.pipe(z.enum(words, {error: `must be one of ${words.join(', ')}`}));
}

/** A boolean written as `true` or `false`, with a default. */
export function booleanText(defaultValue: boolean) {
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

/** Minimum length of an operator's key, in characters. */
const minOperatorKeyLength = 16;

function parseOperatorKey(text: string): OperatorKey | undefined {
	const [name, role, key, ...rest] = text.trim().split(':');
	if (rest.length > 0 || name === undefined || key === undefined) {
		return undefined;
	}

	const isRole = role === 'read' || role === 'change';
	return isRole && key.length >= minOperatorKeyLength
		? {name, role, key}
		: undefined;
}

/** Operators' keys as `NAME:ROLE:KEY`, separated by commas or line breaks. */
export const operatorKeys = z
	.string()
	.default('')
	.transform((text, context) => {
		const items = text.split(/[\n,]/v).filter(item => item.trim() !== '');
		const keys = items.map(item => parseOperatorKey(item));
		if (keys.includes(undefined)) {
			// The message leaves out the text, which may contain a key.
			context.addIssue({
				code: 'custom',
				message: `must be NAME:ROLE:KEY items with ROLE read or change and a KEY of at least ${minOperatorKeyLength} characters`,
			});
			return z.NEVER;
		}

		return keys.filter(key => key !== undefined);
	});
