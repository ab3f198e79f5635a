import {randomUUID} from 'node:crypto';
import type {AppServer} from './app-server.js';
import type {BackendRecorder} from './backend-recorder.js';

/** Simulates the process of an engine or plain service: its boot identifier, uptime, crashes and restarts. */
export class BackendProcess {
	static create(
		server: AppServer,
		recorder: BackendRecorder,
		restartMs: number,
		onBoot: () => void,
	): BackendProcess {
		return new BackendProcess(server, recorder, restartMs, onBoot);
	}

	private _bootId = randomUUID();
	private _bootedAt = Date.now();
	private _isDown = false;
	private readonly _server: AppServer;
	private readonly _recorder: BackendRecorder;
	private readonly _restartMs: number;
	private readonly _onBoot: () => void;

	private constructor(
		server: AppServer,
		recorder: BackendRecorder,
		restartMs: number,
		onBoot: () => void,
	) {
		this._server = server;
		this._recorder = recorder;
		this._restartMs = restartMs;
		this._onBoot = onBoot;
	}

	get bootId(): string {
		return this._bootId;
	}

	uptimeMs(now: number): number {
		return now - this._bootedAt;
	}

	/** Closes all connections, refuses new ones for `downMs` milliseconds, then runs with a new boot identifier. */
	crash(downMs = this._restartMs): void {
		if (this._isDown) {
			return;
		}

		this._isDown = true;
		this._recorder.count('crashes');
		this._server.suspend();
		this._boot();
		setTimeout(() => {
			this._isDown = false;
			this._bootedAt = Date.now();
			void this._server.resume();
		}, downMs);
	}

	/** Restarts without downtime: closes all connections but refuses no new ones. */
	restart(): void {
		this._server.dropConnections();
		this._boot();
	}

	private _boot(): void {
		this._bootId = randomUUID();
		this._bootedAt = Date.now();
		this._onBoot();
	}
}
