/**
 * Mutation test of the users' rules: in a copy of the workspace, disables the mechanism behind each rule and checks that
 * the named test fails. Prints one line per mutation and exits with 1 if a test still passes, or if a mutation can't be
 * applied or built. Usage: node scripts/prove-rules.js [RULE…]
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

/** Timeout of one build or test file, in milliseconds: several times what the slowest test file takes. */
const testTimeoutMs = 120_000;

const excludedNames = new Set(['.git', 'journal']);

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

/** Applies a mutation, runs its test and restores the source. Returns the outcome; `failed` is the expected one. */
function runMutation(directory, {file, from, to, test}) {
	const target = path.join(directory, file);
	const source = readFileSync(target, 'utf8');
	if (source.split(from).length !== 2) {
		return 'source text not found exactly once';
	}

	writeFileSync(
		target,
		source.replace(from, () => to),
	);
	try {
		if (!build(directory)) {
			return 'build failed';
		}

		return passes(directory, test)
			? 'passed with the mechanism disabled'
			: 'failed';
	} finally {
		writeFileSync(target, source);
	}
}

function main() {
	const selectedRules = new Set(process.argv.slice(2));
	const selected = mutations.filter(
		({rule}) => selectedRules.size === 0 || selectedRules.has(rule),
	);
	const directory = mkdtempSync(path.join(tmpdir(), 'balsamtray-prove-'));
	cpSync('.', directory, {
		recursive: true,
		verbatimSymlinks: true,
		filter: source => !excludedNames.has(path.basename(source)),
	});
	let failures = 0;
	const tests = [...new Set(selected.map(({test}) => test))];
	for (const test of tests) {
		if (!build(directory) || !passes(directory, test)) {
			console.log(`${test} fails without a mutation`);
			failures++;
		}
	}

	for (const mutation of selected) {
		const outcome = runMutation(directory, mutation);
		failures += outcome === 'failed' ? 0 : 1;
		console.log(
			`${mutation.rule}: ${mutation.what}: ${mutation.test}: ${outcome}`,
		);
	}

	rmSync(directory, {recursive: true});
	console.log(`${selected.length - failures} proved, ${failures} not`);
	return failures === 0 ? 0 : 1;
}

process.exitCode = main();
