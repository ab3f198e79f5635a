import {setTimeout as sleep} from 'node:timers/promises';
import type {Host, Random} from '@balsamtray/core';
import {request} from 'undici';
import type {
	Disposable,
	MembershipService,
	Telemetry,
} from '../common/types.js';
import {
	maxPollIntervalMs,
	pollIntervalPerHostMs,
	readTimeoutMs,
	minPollIntervalMs,
} from './constants.js';
import {parseHosts} from './parse-hosts.js';

/** Options of the membership task. */
export type MembershipTaskOptions = {
	/** Base URL of the platform's host list. */
	readonly url: string;
	readonly telemetry: Telemetry;
	readonly random: Random;
};

/** Polls the platform's host list. Keeps the last list while the platform is down. */
export class MembershipTask implements MembershipService {
	static create(options: MembershipTaskOptions): MembershipTask {
		return new MembershipTask(options);
	}

	private readonly _listeners = new Set<(hosts: readonly Host[]) => void>();
	private readonly _stopController = new AbortController();
	private _hosts: readonly Host[] = [];
	private _hostsById: ReadonlyMap<string, Host> = new Map();
	private _etag: string | undefined;
	private _isPlatformUp = true;
	private _loop: Promise<void> | undefined;

	private constructor(private readonly _options: MembershipTaskOptions) {}

	/** Reads the list once, then polls it in the background until the task is stopped. */
	async start(): Promise<void> {
		await this.poll();
		this._loop = this._pollUntilStopped();
	}

	async stop(): Promise<void> {
		this._stopController.abort();
		this._listeners.clear();
		await this._loop;
	}

	hosts(): readonly Host[] {
		return this._hosts;
	}

	find(id: string): Host | undefined {
		return this._hostsById.get(id);
	}

	onChanged(listener: (hosts: readonly Host[]) => void): Disposable {
		this._listeners.add(listener);
		return {
			dispose: () => {
				this._listeners.delete(listener);
			},
		};
	}

	/** Reads the list once. Keeps the last list if the read fails. */
	async poll(): Promise<void> {
		try {
			await this._read();
			this._notePlatformState(true);
		} catch (error) {
			if (!this._stopController.signal.aborted) {
				this._options.telemetry.metrics.increment('membership.read_failed');
				this._notePlatformState(false, error);
			}
		}
	}

	private async _pollUntilStopped(): Promise<void> {
		while (!this._stopController.signal.aborted) {
			try {
				// Sequential: each read starts after the previous one.
				// eslint-disable-next-line no-await-in-loop
				await sleep(this._pollIntervalMs(), undefined, {
					signal: this._stopController.signal,
					ref: false,
				});
			} catch {
				return;
			}

			// eslint-disable-next-line no-await-in-loop
			await this.poll();
		}
	}

	/**
	 * Returns the time until the next read. It grows with the fleet to bound the platform's load, and
	 * has a jitter of ±25 % so that processes don't read in step.
	 */
	private _pollIntervalMs(): number {
		const interval = Math.min(
			maxPollIntervalMs,
			Math.max(minPollIntervalMs, this._hosts.length * pollIntervalPerHostMs),
		);
		return interval * (0.75 + this._options.random() / 2);
	}

	private async _read(): Promise<void> {
		const {statusCode, headers, body} = await request(
			`${this._options.url}/v1/hosts`,
			{
				headers: this._etag === undefined ? {} : {'if-none-match': this._etag},
				signal: AbortSignal.any([
					this._stopController.signal,
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
			throw new Error(`the platform responded with status ${statusCode}`);
		}

		const parsed = parseHosts(await body.json());
		if (parsed === undefined) {
			throw new Error('the response of the platform is not a host list');
		}

		if (parsed.malformed > 0) {
			this._options.telemetry.metrics.increment('membership.malformed_lines');
		}

		const {etag} = headers;
		this._etag = typeof etag === 'string' ? etag : undefined;
		this._setHosts(parsed.hosts);
	}

	private _setHosts(hosts: readonly Host[]): void {
		this._hosts = hosts;
		this._hostsById = new Map(hosts.map(host => [host.id, host]));
		this._options.telemetry.metrics.gauge('membership.hosts', hosts.length);
		for (const listener of this._listeners) {
			listener(hosts);
		}
	}

	/** Logs when the platform goes down and when it is up again, once each. */
	private _notePlatformState(isUp: boolean, error?: unknown): void {
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
