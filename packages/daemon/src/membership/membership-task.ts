import {setTimeout as sleep} from 'node:timers/promises';
import type {Host, Random} from '@balsamtray/core';
import {request} from 'undici';
import type {
	Disposable,
	MembershipService,
	Telemetry,
} from '../common/types.js';
import {
	longestPollMs,
	pollMsForEachHost,
	readTimeoutMs,
	shortestPollMs,
} from './constants.js';
import {parseHosts} from './parse-hosts.js';

/** What the task needs. */
export type MembershipTaskOptions = {
	/** Address of the platform's list of hosts, without the path. */
	readonly url: string;
	readonly telemetry: Telemetry;
	readonly random: Random;
};

/** Reads the platform's host list again and again. It keeps the last list while the platform is down. */
export class MembershipTask implements MembershipService {
	static create(options: MembershipTaskOptions): MembershipTask {
		return new MembershipTask(options);
	}

	private readonly _listeners = new Set<(hosts: readonly Host[]) => void>();
	private readonly _stop = new AbortController();
	private _hosts: readonly Host[] = [];
	private _byId: ReadonlyMap<string, Host> = new Map();
	private _etag: string | undefined;
	private _isPlatformUp = true;
	private _running: Promise<void> | undefined;

	private constructor(private readonly _options: MembershipTaskOptions) {}

	/** Reads the list once, then keeps reading until the task is stopped. */
	async start(): Promise<void> {
		await this.poll();
		this._running = this._run();
	}

	async stop(): Promise<void> {
		this._stop.abort();
		this._listeners.clear();
		await this._running;
	}

	hosts(): readonly Host[] {
		return this._hosts;
	}

	find(id: string): Host | undefined {
		return this._byId.get(id);
	}

	onChanged(listener: (hosts: readonly Host[]) => void): Disposable {
		this._listeners.add(listener);
		return {
			dispose: () => {
				this._listeners.delete(listener);
			},
		};
	}

	/** Reads the list once. A failure leaves the last list in place. */
	async poll(): Promise<void> {
		try {
			await this._read();
			this._noteState(true);
		} catch (error) {
			if (!this._stop.signal.aborted) {
				this._options.telemetry.metrics.increment('membership.read_failed');
				this._noteState(false, error);
			}
		}
	}

	private async _run(): Promise<void> {
		while (!this._stop.signal.aborted) {
			try {
				// The reads follow each other.
				// eslint-disable-next-line no-await-in-loop
				await sleep(this._pollIntervalMs(), undefined, {
					signal: this._stop.signal,
					ref: false,
				});
			} catch {
				return;
			}

			// eslint-disable-next-line no-await-in-loop
			await this.poll();
		}
	}

	/** The interval grows with the fleet, so that the platform sees a bounded number of reads; it varies so that processes spread. */
	private _pollIntervalMs(): number {
		const interval = Math.min(
			longestPollMs,
			Math.max(shortestPollMs, this._hosts.length * pollMsForEachHost),
		);
		return interval * (0.75 + this._options.random() / 2);
	}

	private async _read(): Promise<void> {
		const {statusCode, headers, body} = await request(
			`${this._options.url}/v1/hosts`,
			{
				headers: this._etag === undefined ? {} : {'if-none-match': this._etag},
				signal: AbortSignal.any([
					this._stop.signal,
					AbortSignal.timeout(readTimeoutMs),
				]),
			},
		);
		if (statusCode === 304) {
			await body.dump();
			return;
		}

		if (statusCode !== 200) {
			await body.dump();
			throw new Error(`the platform answered with status ${statusCode}`);
		}

		const parsed = parseHosts(await body.json());
		if (parsed === undefined) {
			throw new Error('the platform sent no host list');
		}

		if (parsed.malformed > 0) {
			this._options.telemetry.metrics.increment('membership.malformed_lines');
		}

		const {etag} = headers;
		this._etag = typeof etag === 'string' ? etag : undefined;
		this._replace(parsed.hosts);
	}

	private _replace(hosts: readonly Host[]): void {
		this._hosts = hosts;
		this._byId = new Map(hosts.map(host => [host.id, host]));
		this._options.telemetry.metrics.gauge('membership.hosts', hosts.length);
		for (const listener of this._listeners) {
			listener(hosts);
		}
	}

	/** Logs the platform's going down and coming back once each. */
	private _noteState(isUp: boolean, error?: unknown): void {
		if (isUp === this._isPlatformUp) {
			return;
		}

		this._isPlatformUp = isUp;
		const {logger} = this._options.telemetry;
		if (isUp) {
			logger.info('membership.platform_up', {peer: this._options.url});
		} else {
			logger.warn('membership.platform_down', {
				step: 'read',
				peer: this._options.url,
				message: error instanceof Error ? error.message : String(error),
			});
		}
	}
}
