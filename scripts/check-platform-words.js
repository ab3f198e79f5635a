/**
 * Checks that no source outside `platform/` uses names that belong to the platform.
 * Prints each occurrence and exits with 1 if there is any.
 */
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

/** Names of the platform's headers, calls, tables, settings and fields. */
const platformNames = [
	/balsamtray-(?:attempt|server-(?:seal|load)|credential|tenant|expect|deadline|urgency|not-executed|instance|model|token|prompt|hold|pin|kv|weight|length|cold)/iv,
	/\/-\/(?:ready|report|order|rows|blob|kv|hold)/v,
	/\bop\/(?:config|evacuate|version)/v,
	/rows-(?:tx|get|feed|parts)/v,
	/\b(?:BALSAMTRAY_CONFIG|readyAddr|portRange|strictRevoke|revokeMs|retryBudgetRatio|quotaSlack|coldOverage)\b/v,
	/\b(?:routeKind|trafficSplit|authExempt|targetLatencyMs|gapTargetMs|apiKeys|ratePerS|plainTokens|token_metered|coldPerS|adapterSlots|kvCapacity|coldLeftMs|fencingToken)\b/v,
];

/** Names of this project that coincide with names of the platform. */
const allowed = new Set([
	// Time limits and token counts of an entry.
	'revokeMs',
	'plainTokens',
	'coldLeftMs',
	// Adapter slots of an engine in this project's document and agent settings.
	'adapterSlots',
	// The standard term, which this project's orders to engines use as well.
	'fencingToken',
]);

const roots = ['packages', 'features', 'examples'];

function sourceFiles(root) {
	return readdirSync(root, {recursive: true})
		.map(file => path.join(root, file))
		.filter(
			file =>
				/\.(?:ts|feature|yaml)$/v.test(file) &&
				!/[\\\/](?:dist|node_modules)[\\\/]/v.test(file),
		);
}

function occurrencesIn(file) {
	const lines = readFileSync(file, 'utf8').split('\n');
	return lines.flatMap((line, i) =>
		platformNames
			.map(name => name.exec(line)?.[0])
			.filter(found => found !== undefined && !allowed.has(found))
			.map(found => `${file}:${i + 1}: ${found}`),
	);
}

const occurrences = roots
	.flatMap(root => sourceFiles(root))
	.flatMap(file => occurrencesIn(file));
for (const occurrence of occurrences) {
	console.error(occurrence);
}

process.exitCode = occurrences.length === 0 ? 0 : 1;
