import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {PassThrough} from 'node:stream';
import {after, describe, it} from 'node:test';
import {exitCodes} from './exit-codes.js';
import {runClient} from './main.js';
import type {Environment} from './settings.js';

const directory = mkdtempSync(path.join(tmpdir(), 'balsamtray-client-'));
after(() => {
	rmSync(directory, {recursive: true});
});

/** Points to port 9 (discard), where nothing listens. */
const unreachableEntry: Environment = {
	BALSAMTRAY_OPERATOR_URL: 'http://127.0.0.1:9',
	BALSAMTRAY_OPERATOR_KEY: 'key',
};

async function run(args: readonly string[], env: Environment = {}) {
	const stdout = new PassThrough();
	const stderr = new PassThrough();
	const code = await runClient(args, env, {
		stdin: new PassThrough(),
		stdout,
		stderr,
	});
	return {
		code,
		out: String(stdout.read() ?? ''),
		err: String(stderr.read() ?? ''),
	};
}

function writeDocument(text: string): string {
	const name = path.join(directory, 'document.yaml');
	writeFileSync(name, text);
	return name;
}

describe('balsamtray', () => {
	it('prints its version with --version', async () => {
		const {code, out} = await run(['--version']);
		assert.equal(code, exitCodes.success);
		assert.match(out, /^\d+\.\d+\.\d+/v);
	});

	it('shows an example in the help of each command', async () => {
		const {out} = await run(['--help']);
		const commands = [
			...out.matchAll(/^ {2}balsamtray (?<name>[a-z ]+?) (?:\[|<)/gmv),
		].map(match => match.groups?.name ?? '');
		assert.ok(commands.length >= 14);
		for (const command of commands) {
			// eslint-disable-next-line no-await-in-loop
			const help = await run([...command.split(' '), '--help']);
			assert.match(help.out, /Examples/v, command);
		}
	});

	it('suggests the closest command for a mistyped one', async () => {
		const {code, err} = await run(['confg', 'plan', 'x']);
		assert.equal(code, exitCodes.usage);
		assert.match(err, /Did you mean "balsamtray config plan"/v);
	});

	it('names the missing setting', async () => {
		const {code, err} = await run(['status']);
		assert.equal(code, exitCodes.usage);
		assert.match(err, /BALSAMTRAY_OPERATOR_URL/v);
	});

	it('exits with the code for an unreachable entry', async () => {
		const {code} = await run(['status'], unreachableEntry);
		assert.equal(code, exitCodes.unreachable);
	});

	it('fails without --yes when there is no terminal, before it calls the entry', async () => {
		const {code, err} = await run(['zone', 'out', 'z'], unreachableEntry);
		assert.equal(code, exitCodes.usage);
		assert.match(err, /--yes/v);
	});

	describe('config validate', () => {
		it('lists every error with its line', async () => {
			const {code, err} = await run([
				'config',
				'validate',
				writeDocument('customers: 1\nroutes: {r: {}}\n'),
			]);
			assert.equal(code, exitCodes.usage);
			assert.match(err, /line 1: customers/v);
			assert.match(err, /line 2: routes\.r/v);
		});

		it('prints JSON with --json', async () => {
			const name = writeDocument('customers: {}\n');
			const {code, out} = await run(['config', 'validate', name, '--json']);
			assert.equal(code, exitCodes.success);
			assert.equal(typeof JSON.parse(out), 'object');
		});
	});
});
