import {spawn, type ChildProcess} from 'node:child_process';
import process from 'node:process';
import {ChildReaper} from './child-reaper.js';

const reaper = ChildReaper.create();
const stopGraceMs = 5000;
const mostLinesKept = 2000;

/** How to start a child process: a script run by node. */
export type ChildOptions = {
	readonly name: string;
	readonly script: string;
	readonly args: readonly string[];
	/** Added to the few variables that every child gets. */
	readonly env?: Readonly<Record<string, string>>;
};

/** Outcome of a child process. */
export type ChildExit = {
	readonly code: number | undefined;
	readonly signal: NodeJS.Signals | undefined;
};

/** A child process that the harness started, with its output. */
export class Child {
	static start(options: ChildOptions): Child {
		const {script, args, env = {}} = options;
		const started = spawn(process.execPath, [script, ...args], {
			stdio: ['ignore', 'pipe', 'pipe'],
			// Variables of the test run's own environment must not reach the daemons.
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
		this._collect(started.stdout ?? undefined);
		this._collect(started.stderr ?? undefined);
		this.exited = new Promise(resolve => {
			started.once('close', (code, signal) => {
				this._exit = {code: code ?? undefined, signal: signal ?? undefined};
				this._wake();
				resolve(this._exit);
			});
		});
	}

	get isRunning(): boolean {
		return this._exit === undefined;
	}

	/** Lines of standard output and standard error, oldest first. */
	get lines(): readonly string[] {
		return this._lines;
	}

	/** Waits for a line. Throws with the output so far if the process ends or the time is up. */
	async waitForLine(pattern: RegExp, timeoutMs: number): Promise<string> {
		const deadline = Date.now() + timeoutMs;
		for (;;) {
			const found = this._lines.find(line => pattern.test(line));
			if (found !== undefined) {
				return found;
			}

			const left = deadline - Date.now();
			if (!this.isRunning || left <= 0) {
				throw new Error(
					`${this.name} did not print ${pattern.source}:\n${this._lines.join('\n')}`,
				);
			}

			// Lines come one after the other.
			// eslint-disable-next-line no-await-in-loop
			await this._nextChange(left);
		}
	}

	signal(signal: NodeJS.Signals): void {
		if (this.isRunning) {
			this._process.kill(signal);
		}
	}

	/** Ends the process: SIGTERM first, SIGKILL when the grace period is over. */
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

	/** Ends the process at once. */
	async kill(): Promise<ChildExit> {
		this.signal('SIGKILL');
		return this.exited;
	}

	private _collect(stream: NodeJS.ReadableStream | undefined): void {
		let rest = '';
		stream?.setEncoding('utf8');
		stream?.on('data', (text: string) => {
			const lines = (rest + text).split('\n');
			rest = lines.pop() ?? '';
			this._lines.push(...lines);
			this._lines.splice(0, Math.max(0, this._lines.length - mostLinesKept));
			this._wake();
		});
	}

	private _wake(): void {
		for (const wake of this._waiters) {
			wake();
		}

		this._waiters.clear();
	}

	private async _nextChange(timeoutMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const timer = setTimeout(resolve, timeoutMs);
			this._waiters.add(() => {
				clearTimeout(timer);
				resolve();
			});
		});
	}
}
