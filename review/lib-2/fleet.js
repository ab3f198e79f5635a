import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {request} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {StoreStandin} from '../../platform/dist/standin/store-standin.js';
import {configOf, settingsOf} from './deployment.js';

/** Addresses depend on the process, so that scripts that run at once do not meet. */
const network = `127.${64 + (Math.floor(process.pid / 250) % 64)}.${1 + (process.pid % 250)}`;

export const ports = {
	front: 8221,
	ready: 8224,
	store: 8225,
	app: 8228,
	first: 7600,
};

const startTimeoutMs = 30_000;

/** Commands of the deploy file, by role. */
function deployCommands() {
	const text = readFileSync('deploy/system.toml', 'utf8');
	const runs = [
		...text.matchAll(/\[roles\.(?<role>\w+)\]\s+run = "(?<run>[^"]+)"/gv),
	];
	return Object.fromEntries(
		runs.map(({groups}) => [groups.role, groups.run.split(' ')]),
	);
}

/** What the platform passes on of its environment. */
function inherited() {
	return Object.fromEntries(
		Object.entries(process.env).filter(([name]) =>
			['PATH', 'HOME', 'LANG'].includes(name),
		),
	);
}

/** The project's own programs as processes, and the store that they use. */
export class Fleet {
	/** @param config changes to the first configuration */
	static async open(config = {}) {
		const fleet = new Fleet();
		fleet.store = await StoreStandin.listen(`${network}.2`, ports.store);
		fleet.store.put('op', 'config', configOf(1, config));
		return fleet;
	}

	lines = [];
	children = new Map();
	#commands = deployCommands();
	#folder = mkdtempSync(path.join(tmpdir(), 'balsamtray-review-'));

	host(number) {
		return `${network}.${number}`;
	}

	get storeAddress() {
		return `${network}.2:${ports.store}`;
	}

	entryHost(index) {
		return this.host(11 + index);
	}

	startEntry(index, zone, isFirstStart) {
		this.#spawn('entry', this.entryHost(index), zone, isFirstStart);
	}

	startAgent(host, zone) {
		this.#spawn('agent', host, zone, true);
	}

	process(role, host) {
		return this.children.get(`${role} ${host}`);
	}

	/** Kills the process of an entry. Resolves when it has ended. */
	async killEntry(index) {
		const child = this.process('entry', this.entryHost(index));
		const ended = new Promise(resolve => {
			child.once('exit', resolve);
		});
		child.kill('SIGKILL');
		await ended;
	}

	async isReady(index) {
		return new Promise(resolve => {
			const req = request(
				{
					host: this.entryHost(index),
					port: ports.ready,
					path: '/-/ready',
					agent: false,
				},
				res => {
					res.resume();
					resolve(res.statusCode === 200);
				},
			);
			req.once('error', () => {
				resolve(false);
			});
			req.end();
		});
	}

	/** Waits until entries say that they are ready. */
	async untilReady(indices) {
		const endAt = Date.now() + startTimeoutMs;
		for (const index of indices) {
			// Polls one entry after the other.
			// eslint-disable-next-line no-await-in-loop
			while (!(await this.isReady(index))) {
				if (Date.now() > endAt) {
					throw new Error(`entry ${index} is not ready`);
				}

				// eslint-disable-next-line no-await-in-loop
				await delay(50);
			}
		}
	}

	/** Log lines of all processes that contain a text. */
	linesWith(part) {
		return this.lines.filter(line => line.includes(part));
	}

	close() {
		for (const child of this.children.values()) {
			child.kill('SIGKILL');
		}

		this.store.dispose();
		rmSync(this.#folder, {recursive: true, force: true});
	}

	#spawn(role, host, zone, isFirstStart) {
		const file = path.join(this.#folder, `${role}-${host}.toml`);
		writeFileSync(
			file,
			settingsOf(role, {
				host,
				zone,
				isFirstStart,
				store: this.storeAddress,
				ports,
			}),
		);
		const [program, ...args] = this.#commands[role];
		const child = spawn(program === 'node' ? process.execPath : program, args, {
			env: {...inherited(), BALSAMTRAY_CONFIG: file},
			stdio: ['ignore', 'pipe', 'inherit'],
		});
		child.stdout.setEncoding('utf8');
		child.stdout.on('data', chunk => {
			this.lines.push(...chunk.split('\n'));
		});
		this.children.set(`${role} ${host}`, child);
	}
}
