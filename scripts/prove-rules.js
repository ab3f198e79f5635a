/**
 * Turns off the mechanism of each rule in a copy of the workspace and runs the test that must fail then.
 * Prints a line for each, and ends with 1 if a test passed with its mechanism off. Usage: node scripts/prove-rules.js [RULE…]
 */
import {spawnSync} from 'node:child_process';
import {
	cpSync,
	mkdtempSync,
	readFileSync,
	rmSync,
	writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {mutations} from './rule-mutations.js';

/** Time for one test file, in milliseconds: several times what the slowest takes. */
const testTimeoutMs = 120_000;

const notCopied = new Set(['.git', 'journal']);

function run(directory, command, args) {
	const {status} = spawnSync(command, args, {
		cwd: directory,
		stdio: 'ignore',
		timeout: testTimeoutMs,
	});
	return status === 0;
}

function build(directory) {
	return (
		run(directory, 'npx', ['--no-install', 'tsc', '--build']) &&
		run(directory, process.execPath, ['scripts/build-bundles.js'])
	);
}

function passes(directory, test) {
	return run(directory, process.execPath, ['--test', test]);
}

/** What the test said with the mechanism off; the source is put back afterwards. */
function tryMutation(directory, {file, from, to, test}) {
	const target = path.join(directory, file);
	const source = readFileSync(target, 'utf8');
	if (source.split(from).length !== 2) {
		return 'the source has changed';
	}

	writeFileSync(
		target,
		source.replace(from, () => to),
	);
	try {
		if (!build(directory)) {
			return 'does not build';
		}

		return passes(directory, test) ? 'passed with it off' : 'failed';
	} finally {
		writeFileSync(target, source);
	}
}

function main() {
	const wanted = new Set(process.argv.slice(2));
	const chosen = mutations.filter(
		({rule}) => wanted.size === 0 || wanted.has(rule),
	);
	const directory = mkdtempSync(path.join(tmpdir(), 'balsamtray-prove-'));
	cpSync('.', directory, {
		recursive: true,
		verbatimSymlinks: true,
		filter: source => !notCopied.has(path.basename(source)),
	});
	let faults = 0;
	const tests = [...new Set(chosen.map(({test}) => test))];
	for (const test of tests) {
		if (!build(directory) || !passes(directory, test)) {
			console.log(`${test} fails with all mechanisms on`);
			faults++;
		}
	}

	for (const mutation of chosen) {
		const outcome = tryMutation(directory, mutation);
		faults += outcome === 'failed' ? 0 : 1;
		console.log(
			`${mutation.rule}: ${mutation.what}: ${mutation.test}: ${outcome}`,
		);
	}

	rmSync(directory, {recursive: true});
	console.log(`${chosen.length - faults} proved, ${faults} not`);
	return faults === 0 ? 0 : 1;
}

process.exitCode = main();
