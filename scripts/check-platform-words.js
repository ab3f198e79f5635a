/**
 * Checks that nothing outside `platform/` knows the platform's names.
 * Prints each place and exits with 1 if there is one.
 */
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

/** Names of the platform's headers, calls, tables, settings and fields. */
const names = [
	/balsamtray-(?:attempt|server-(?:seal|load)|credential|tenant|expect|deadline|urgency|not-executed|instance|model|token|prompt|hold|pin|kv|weight|length|cold)/iv,
	/\/-\/(?:ready|report|order|rows|blob|kv|hold)/v,
	/\bop\/(?:config|evacuate|version)/v,
	/rows-(?:tx|get|feed|parts)/v,
	/\b(?:BALSAMTRAY_CONFIG|readyAddr|portRange|strictRevoke|revokeMs|retryBudgetRatio|quotaSlack|coldOverage)\b/v,
	/\b(?:routeKind|trafficSplit|authExempt|targetLatencyMs|gapTargetMs|apiKeys|ratePerS|plainTokens|token_metered|coldPerS|adapterSlots|kvCapacity|coldLeftMs|fencingToken)\b/v,
];

/** Own names that happen to be those of the platform. */
const allowed = new Set([
	// Bounds of an entry, named for what they hold.
	'revokeMs',
	'plainTokens',
	'coldLeftMs',
	// Slots of an engine in the product's own document and agent settings.
	'adapterSlots',
	// The usual term, which the product's own orders to engines use as well.
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

function placesIn(file) {
	const lines = readFileSync(file, 'utf8').split('\n');
	return lines.flatMap((line, i) =>
		names
			.map(name => name.exec(line)?.[0])
			.filter(found => found !== undefined && !allowed.has(found))
			.map(found => `${file}:${i + 1}: ${found}`),
	);
}

const places = roots
	.flatMap(root => sourceFiles(root))
	.flatMap(file => placesIn(file));
for (const place of places) {
	console.error(place);
}

process.exitCode = places.length === 0 ? 0 : 1;
