import {spawn, type ChildProcess} from 'node:child_process';
import process from 'node:process';
import {ChildReaper} from './child-reaper.js';

const reaper = ChildReaper.create();
const stopGraceMs = 5000;
/** Maximum number of output lines kept per process; the oldest are dropped first. */
const maxLines = 2000;

/** Options of a child process that runs a script with Node.js. */
export type ChildOptions = {
	readonly name: string;
	readonly script: string;
	readonly args: readonly string[];
	/** Environment variables besides `PATH`, which every child gets. */
	readonly env?: Readonly<Record<string, string>>;
};

/** Exit status of a child process. */
export type ChildExit = {
	readonly code: number | undefined;
	readonly signal: NodeJS.Signals | undefined;
};

/** A child process started by the harness, with its captured output. */
export class Child {
	static start(options: ChildOptions): Child {
		const {script, args, env = {}} = options;
		const started = spawn(process.execPath, [script, ...args], {
			stdio: ['ignore', 'pipe', 'pipe'],
			// The daemons must not inherit settings from the environment of the test run.
			// eslint-disable-next-line @typescript-eslint/naming-convention
			env: {PATH: process.env.PATH ?? '', ...env},
		});
		reaper.add(started);
		return new Child(options.name, started);
	}

	readonly name: string;
	readonly exited: Promise<ChildExit>;
	private readonly _process: ChildProcess;
	private readonly _lines: string[] = [];
	private readonly _waiters = new Set<() => void>();
	private _exit: ChildExit | undefined;

	private constructor(name: string, started: ChildProcess) {
		this.name = name;
		this._process = started;
		this._collectLines(started.stdout ?? undefined);
		this._collectLines(started.stderr ?? undefined);
		this.exited = new Promise(resolve => {
			started.once('close', (code, signal) => {
				this._exit = {code: code ?? undefined, signal: signal ?? undefined};
				this._notifyWaiters();
				resolve(this._exit);
			});
		});
	}

	get pid(): number | undefined {
		return this._process.pid;
	}

	get isRunning(): boolean {
		return this._exit === undefined;
	}

	/** Lines of standard output and standard error, oldest first. */
	get lines(): readonly string[] {
		return this._lines;
	}

	/** Waits for a matching line of output. Throws with the output so far if the process ends or the timeout expires. */
	async waitForLine(pattern: RegExp, timeoutMs: number): Promise<string> {
		const deadline = Date.now() + timeoutMs;
		for (;;) {
			const found = this._lines.find(line => pattern.test(line));
			if (found !== undefined) {
				return found;
			}

			const remainingMs = deadline - Date.now();
			if (!this.isRunning || remainingMs <= 0) {
				throw new Error(
					`${this.name} did not print ${pattern.source}:\n${this._lines.join('\n')}`,
				);
			}

			// Each wait depends on the lines received so far.
			// eslint-disable-next-line no-await-in-loop
			await this._waitForChange(remainingMs);
		}
	}

	signal(signal: NodeJS.Signals): void {
		if (this.isRunning) {
			this._process.kill(signal);
		}
	}

	/** Stops the process with SIGTERM, then with SIGKILL after the grace period. Resumes it first if it is paused. */
	async stop(graceMs = stopGraceMs): Promise<ChildExit> {
		this.signal('SIGCONT');
		this.signal('SIGTERM');
		const timer = setTimeout(() => {
			this.signal('SIGKILL');
		}, graceMs);
		const exit = await this.exited;
		clearTimeout(timer);
		return exit;
	}

	/** Kills the process with SIGKILL. */
	async kill(): Promise<ChildExit> {
		this.signal('SIGKILL');
		return this.exited;
	}

	private _collectLines(stream: NodeJS.ReadableStream | undefined): void {
		let partialLine = '';
		stream?.setEncoding('utf8');
		stream?.on('data', (text: string) => {
			const lines = (partialLine + text).split('\n');
			partialLine = lines.pop() ?? '';
			this._lines.push(...lines);
			this._lines.splice(0, Math.max(0, this._lines.length - maxLines));
			this._notifyWaiters();
		});
	}

	private _notifyWaiters(): void {
		for (const notify of this._waiters) {
			notify();
		}

		this._waiters.clear();
	}

	private async _waitForChange(timeoutMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const timer = setTimeout(resolve, timeoutMs);
			this._waiters.add(() => {
				clearTimeout(timer);
				resolve();
			});
		});
	}
}
