import {Buffer} from 'node:buffer';
import {STATUS_CODES} from 'node:http';
import type {CallRefusal} from './call-refusal.js';

/** The body of a refusal. */
export function refusalBody({reason, isNotRun}: CallRefusal): string {
	return JSON.stringify({error: {code: reason, not_run: isNotRun}});
}

/** Value of the `retry-after` header, in seconds. */
export function retryAfterOf(retryAfterMs: number): string {
	return (Math.ceil(retryAfterMs) / 1000).toString();
}

/** Formats the response to a request that has no `ServerResponse`, since its headers were not read completely. */
export function formatRefusal(refusal: CallRefusal): string {
	const {status, retryAfterMs} = refusal;
	const body = refusalBody(refusal);
	return [
		`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`,
		'content-type: application/json',
		`content-length: ${Buffer.byteLength(body)}`,
		...(retryAfterMs === undefined
			? []
			: [`retry-after: ${retryAfterOf(retryAfterMs)}`]),
		'connection: close',
		'',
		body,
	].join('\r\n');
}
