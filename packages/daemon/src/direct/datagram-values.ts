import type {Endpoint} from './types.js';

export function isSameEndpoint(a: Endpoint, b: Endpoint): boolean {
	return a.host === b.host && a.port === b.port;
}

/** Rounds down to tenths, which keeps datagrams short. */
export function roundMs(value: number): number {
	return Math.floor(value * 10) / 10;
}
