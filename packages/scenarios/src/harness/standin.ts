import {
	backendRecordSchema,
	type BackendRecord,
	type ControlOrder,
	type EngineFaults,
} from '@balsamtray/standins';
import {request} from 'undici';
import {z} from 'zod';
import {Child} from './child.js';
import {respondsWithOk, waitUntil} from './wait-until.js';
import {standinScript} from './locations.js';

const startTimeoutMs = 30_000;

const listeningSchema = z.object({listening: z.string()});

/** Kinds of stand-ins. */
export type StandinKind =
	'table' | 'objects' | 'hosts' | 'weights' | 'engine' | 'service';

/** A stand-in for a platform service or a backend, in its own process. */
export class Standin {
	/** Starts a stand-in on a free port and waits until it listens. The flags are `--name value` pairs. */
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

	/** Replaces all injected faults. Waits first until the stand-in is up. */
	async setFaults(faults: EngineFaults): Promise<void> {
		await this.waitUntilUp();
		await this.send('PUT', '/faults', faults);
	}

	/** Waits until the stand-in accepts connections again after a crash. */
	async waitUntilUp(): Promise<void> {
		await waitUntil(`${this.child.name} is up`, startTimeoutMs, async () =>
			respondsWithOk(`${this.url}/faults`),
		);
	}

	/** Sends a control order, for example to crash or restart. */
	async sendControlOrder(order: ControlOrder): Promise<void> {
		await this.send('POST', '/control', order);
	}

	/** Returns what an engine or plain service received since its record was cleared. Waits until it is up. */
	async record(): Promise<BackendRecord> {
		await this.waitUntilUp();
		return backendRecordSchema.parse(await this.send('GET', '/record'));
	}

	async clearRecord(): Promise<void> {
		await this.send('DELETE', '/record');
	}

	/** Sends JSON and returns the JSON of the response. Throws on any status other than 200. */
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
				`${this.child.name} responded to ${method} ${path} with status ${res.statusCode}: ${text}`,
			);
		}

		return JSON.parse(text);
	}
}
