import type {Host} from '@balsamtray/core';
import {Child} from './child.js';
import {daemonScript} from './locations.js';
import {respondsWithOk, waitUntil} from './wait-until.js';

/** Maximum time until a daemon is ready. With the start timeout of the fleet (25 s), it stays below the 60 s step timeout. */
const readyTimeoutMs = 25_000;

/** Options of one daemon. */
export type DaemonOptions = {
	readonly role: 'entry' | 'agent';
	/** Its entry in the platform's host list. */
	readonly host: Host;
	readonly env: Readonly<Record<string, string>>;
	/** URL of its readiness check. */
	readonly readyUrl: string;
};

/** A host of a fleet and its daemon process, which can be killed, paused and restarted. */
export class DaemonHost {
	static create(options: DaemonOptions): DaemonHost {
		return new DaemonHost(options);
	}

	private readonly _options: DaemonOptions;
	private _child: Child | undefined;
	private _isStopping = false;

	private constructor(options: DaemonOptions) {
		this._options = options;
	}

	get id(): string {
		return this.host.id;
	}

	get host(): Host {
		return this._options.host;
	}

	/** The daemon's process. Throws before the first start. */
	get child(): Child {
		if (this._child === undefined) {
			throw new Error(`${this.id} was not started`);
		}

		return this._child;
	}

	get isRunning(): boolean {
		return this._child?.isRunning ?? false;
	}

	/** Starts the daemon as the process that this object controls. */
	start(): Child {
		this._isStopping = false;
		this._child = this.spawnProcess();
		return this._child;
	}

	/**
	 * Spawns a daemon process without taking control of it. Besides the running process, this simulates a supervisor that
	 * starts a daemon twice.
	 */
	spawnProcess(): Child {
		const {role, env} = this._options;
		return Child.start({
			name: this.id,
			script: daemonScript,
			args: [role],
			env,
		});
	}

	async isReady(): Promise<boolean> {
		return respondsWithOk(this._options.readyUrl);
	}

	async waitUntilReady(): Promise<void> {
		await waitUntil(`${this.id} is ready`, readyTimeoutMs, async () => {
			if (!this.isRunning) {
				throw new Error(`${this.id} exited:\n${this.child.lines.join('\n')}`);
			}

			return this.isReady();
		});
	}

	/** Requests a graceful shutdown with SIGTERM, without waiting for it. */
	requestStop(): void {
		this._isStopping = true;
		this.child.signal('SIGTERM');
	}

	/** Resumes the daemon if it is paused, and starts it again if it has exited or is shutting down. */
	async ensureRunning(): Promise<void> {
		this.resume();
		if (this._isStopping) {
			await this.stop();
		}

		if (!this.isRunning) {
			this.start();
		}
	}

	/** Starts the daemon again and waits until it is ready. */
	async restart(): Promise<void> {
		this.start();
		await this.waitUntilReady();
	}

	async kill(): Promise<void> {
		await this.child.kill();
	}

	/** Suspends the process with SIGSTOP until `resume()`. */
	pause(): void {
		this.child.signal('SIGSTOP');
	}

	resume(): void {
		this.child.signal('SIGCONT');
	}

	async stop(graceMs?: number): Promise<void> {
		if (this._child !== undefined) {
			await this._child.stop(graceMs);
		}
	}
}
