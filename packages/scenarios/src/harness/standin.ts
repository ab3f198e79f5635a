import {
	backendRecordSchema,
	type BackendRecord,
	type ControlOrder,
	type EngineFaults,
} from '@balsamtray/standins';
import {request} from 'undici';
import {z} from 'zod';
import {Child} from './child.js';
import {answersOk, waitUntil} from './wait-until.js';
import {standinScript} from './locations.js';

const startTimeoutMs = 30_000;

const listeningSchema = z.object({listening: z.string()});

/** Kinds of stand-ins. */
export type StandinKind =
	'table' | 'objects' | 'hosts' | 'weights' | 'engine' | 'service';

/** A stand-in that runs as a process of its own. */
export class Standin {
	/** Starts a stand-in and waits until it listens. The flags are `--name value` pairs. */
	static async create(
		name: string,
		kind: StandinKind,
		flags: readonly string[] = [],
	): Promise<Standin> {
		const child = Child.start({
			name,
			script: standinScript,
			args: [kind, '--port', '0', ...flags],
		});
		const line = await child.waitForLine(/"listening"/v, startTimeoutMs);
		const {listening} = listeningSchema.parse(JSON.parse(line));
		return new Standin(child, `http://${listening}`);
	}

	readonly child: Child;
	readonly url: string;

	private constructor(child: Child, url: string) {
		this.child = child;
		this.url = url;
	}

	/** Replaces all fault switches. */
	async setFaults(faults: EngineFaults): Promise<void> {
		await this.waitUntilUp();
		await this.send('PUT', '/faults', faults);
	}

	/** Waits until it takes connections again after a crash. */
	async waitUntilUp(): Promise<void> {
		await waitUntil(`${this.child.name} is up`, startTimeoutMs, async () =>
			answersOk(`${this.url}/faults`),
		);
	}

	async order(order: ControlOrder): Promise<void> {
		await this.send('POST', '/control', order);
	}

	/** What an engine or plain service saw since its record was cleared. Waits while it is down. */
	async record(): Promise<BackendRecord> {
		await this.waitUntilUp();
		return backendRecordSchema.parse(await this.send('GET', '/record'));
	}

	async clearRecord(): Promise<void> {
		await this.send('DELETE', '/record');
	}

	/** Sends JSON and returns the JSON of the answer. Throws on any other status than 200. */
	async send(
		method: 'GET' | 'PUT' | 'POST' | 'DELETE',
		path: string,
		body?: unknown,
	): Promise<unknown> {
		const res = await request(`${this.url}${path}`, {
			method,
			...(body !== undefined && {
				headers: {'content-type': 'application/json'},
				body: JSON.stringify(body),
			}),
		});
		const text = await res.body.text();
		if (res.statusCode !== 200) {
			throw new Error(
				`${this.child.name} answered ${method} ${path} with ${res.statusCode}: ${text}`,
			);
		}

		return JSON.parse(text);
	}
}
