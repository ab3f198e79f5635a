/**
 * Builds the workspace and the platform's bundles, then runs the unit tests and the cucumber scenarios.
 * Prints "N passed, N failed" as its last line. A failing test that KNOWN-RED.txt lists is printed but does not fail the run.
 */
import {spawnSync} from 'node:child_process';
import {
	existsSync,
	mkdtempSync,
	readdirSync,
	readFileSync,
	rmSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';

const testDirectories = ['packages', 'platform'];
const knownRedFile = 'KNOWN-RED.txt';

function run(command, args) {
	const result = spawnSync(command, args, {stdio: 'inherit'});
	return result.status ?? 1;
}

function unitTestFiles() {
	return testDirectories
		.flatMap(directory =>
			readdirSync(directory, {recursive: true}).map(file =>
				path.join(directory, file),
			),
		)
		.filter(
			file =>
				/[\\\/]dist[\\\/].*\.test\.js$/v.test(file) &&
				!file.includes('node_modules'),
		)
		.toSorted();
}

/** Tests of many clients at once. Each of them runs apart from all other load. */
const crowdTestPattern = /\.crowd\.test\.js$/v;

/** Names of the tests that may fail: the text between `test:` and the next `;` of each line. */
function knownRedNames() {
	if (!existsSync(knownRedFile)) {
		return [];
	}

	return readFileSync(knownRedFile, 'utf8')
		.split('\n')
		.map(line => /^test:(?<name>[^;]+)/v.exec(line)?.groups.name.trim())
		.filter(name => name !== undefined);
}

/** Parses the JUnit report of node:test. */
function unitResults(reportFile) {
	const text = readFileSync(reportFile, 'utf8');
	const results = [];
	const pattern =
		/<testcase name="(?<name>[^"]*)"(?:[^>]*[^\/>])?(?:\/>|>(?<body>.*?)<\/testcase>)/gsv;
	for (const {groups} of text.matchAll(pattern)) {
		const isFailed = groups.body?.includes('<failure') ?? false;
		results.push({name: groups.name, isFailed});
	}

	return results;
}

/** Parses the JSON report of Cucumber. Empty if there is no report. */
function scenarioResults(reportFile) {
	if (!existsSync(reportFile)) {
		return [];
	}

	const features = JSON.parse(readFileSync(reportFile, 'utf8'));
	return features.flatMap(feature =>
		feature.elements.map(scenario => ({
			name: `${feature.name}: ${scenario.name}`,
			isFailed: scenario.steps.some(step => step.result.status !== 'passed'),
		})),
	);
}

function runUnitTests(reportFile, files, options = []) {
	return run(process.execPath, [
		'--test',
		...options,
		'--test-reporter=spec',
		'--test-reporter-destination=stdout',
		'--test-reporter=junit',
		`--test-reporter-destination=${reportFile}`,
		...files,
	]);
}

function runScenarios(reportFile) {
	return run('npx', [
		'--no-install',
		'cucumber-js',
		'--format',
		'progress',
		'--format',
		`json:${reportFile}`,
	]);
}

function summaryLine(results) {
	const failed = results.filter(result => result.isFailed).length;
	return `${results.length - failed} passed, ${failed} failed`;
}

function main() {
	const isBuilt =
		run('npx', ['--no-install', 'tsc', '--build']) === 0 &&
		run(process.execPath, ['scripts/build-bundles.js']) === 0;
	if (!isBuilt) {
		console.log('0 passed, 1 failed');
		return 1;
	}

	const directory = mkdtempSync(path.join(tmpdir(), 'balsamtray-tests-'));
	const unitReport = path.join(directory, 'unit.xml');
	const crowdReport = path.join(directory, 'crowd.xml');
	const scenarioReport = path.join(directory, 'scenarios.json');
	const files = unitTestFiles();
	const unitStatus = runUnitTests(
		unitReport,
		files.filter(file => !crowdTestPattern.test(file)),
	);
	const crowdStatus = runUnitTests(
		crowdReport,
		files.filter(file => crowdTestPattern.test(file)),
		['--test-concurrency=1'],
	);
	const scenarioStatus = runScenarios(scenarioReport);
	const results = [
		...unitResults(unitReport),
		...unitResults(crowdReport),
		...scenarioResults(scenarioReport),
	];
	rmSync(directory, {recursive: true});

	const knownRed = new Set(knownRedNames());
	const failed = results.filter(result => result.isFailed);
	const unexpected = failed.filter(result => !knownRed.has(result.name));
	for (const {name} of failed) {
		console.log(`${knownRed.has(name) ? 'known red' : 'failed'}: ${name}`);
	}

	// A runner that fails although its report has no failed test has crashed or was killed.
	const hasRunnerFailed =
		failed.length === 0 &&
		[unitStatus, crowdStatus, scenarioStatus].some(status => status !== 0);
	if (hasRunnerFailed) {
		console.log(
			`a test runner failed without a failed test: exit code ${unitStatus} for unit tests, ${crowdStatus} for tests of crowds, ${scenarioStatus} for scenarios`,
		);
	}

	console.log(summaryLine(results));
	return unexpected.length === 0 && !hasRunnerFailed && results.length > 0
		? 0
		: 1;
}

process.exitCode = main();
