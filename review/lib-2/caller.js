import {randomBytes} from 'node:crypto';
import {request} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {hostName} from './deployment.js';
import {ports} from './fleet.js';

/** A new identifier of a try. */
export function newId() {
	return randomBytes(8).toString('hex');
}

/**
 * Sends one try to an entry. Resolves with the status (0 if none came), the headers, the whole events that arrived and
 * whether the response was complete.
 */
export async function send(
	host,
	{
		path,
		method = 'POST',
		body = '{}',
		key,
		id = newId(),
		deadlineMs = 15_000,
		headers = {},
		onResponse = () => undefined,
	},
) {
	const res = {id, status: 0, headers: {}, body: '', isComplete: false};
	return new Promise(resolve => {
		const end = () => {
			clearTimeout(timer);
			resolve({...res, events: eventIds(res.body)});
		};

		const req = request({
			host,
			port: ports.front,
			path,
			method,
			agent: false,
			headers: {
				host: hostName,
				'balsamtray-attempt-id': id,
				'balsamtray-deadline-ms': Math.round(deadlineMs).toString(),
				...(key !== undefined && {'balsamtray-credential': key}),
				...headers,
			},
		});
		const timer = setTimeout(() => {
			req.destroy();
		}, deadlineMs);
		req.once('error', end);
		req.once('close', end);
		req.once('response', message => {
			res.status = message.statusCode;
			res.headers = message.headers;
			message.setEncoding('utf8');
			message.on('data', chunk => {
				res.body += chunk;
			});
			message.once('error', end);
			message.once('end', () => {
				res.isComplete = message.complete;
				end();
			});
			onResponse(req);
		});
		req.end(method === 'GET' ? undefined : body);
	});
}

/** Identifiers of the whole events of a stream. */
export function eventIds(text) {
	return text
		.split('\n\n')
		.slice(0, -1)
		.map(event => Number(/^id: (?<id>\d+)$/mv.exec(event)?.groups.id ?? 0));
}

/**
 * Sends tries until one is answered with a success, as callers do: each on a new connection, at the next entry, after
 * `Retry-After` or after a pause of its own, within the time limit.
 */
export async function sendUntilAnswered(hosts, call, {limitMs, maxTries}) {
	const endAt = Date.now() + limitMs;
	const tries = [];
	for (let i = 0; i < maxTries && Date.now() < endAt; i++) {
		const leftMs = endAt - Date.now();
		// Tries follow each other.
		// eslint-disable-next-line no-await-in-loop
		const res = await send(hosts[i % hosts.length], {
			...call,
			id: newId(),
			deadlineMs: leftMs,
		});
		tries.push(res);
		if (res.status >= 200 && res.status < 300) {
			break;
		}

		const waitMs = 1000 * Number(res.headers['retry-after'] ?? 0.5);
		// eslint-disable-next-line no-await-in-loop
		await delay(Math.min(waitMs, Math.max(0, endAt - Date.now()) / 3));
	}

	return tries;
}
