/** Generates docs/operators/direct-path.md from the log event types and the metric definitions. With `--check`, only compares the page. */
import {readFileSync} from 'node:fs';
import ts from 'typescript';
import {metricDefinitions} from '../packages/daemon/dist/direct/metric-definitions.js';
import {writeOrCheck} from './generated-page.js';

const source = ts.createSourceFile(
	'log-events.ts',
	readFileSync('packages/daemon/src/direct/log-events.ts', 'utf8'),
	ts.ScriptTarget.Latest,
	true,
);

/** Text of the doc comments between a position and a node. */
function commentBefore(node, from) {
	const between = source.text.slice(from, node.getStart(source));
	return [...between.matchAll(/\/\*\*(?<text>.*?)\*\//gsv)]
		.map(match => match.groups.text.replaceAll(/\s+/gv, ' ').trim())
		.join(' ');
}

function fieldOf(member) {
	const name = member.name.getText(source);
	const comment = commentBefore(member, member.getFullStart());
	return comment === '' ? `\`${name}\`` : `\`${name}\` (${comment})`;
}

function eventsIn(node, comment) {
	if (ts.isUnionTypeNode(node)) {
		return node.types.flatMap((type, i) =>
			eventsIn(
				type,
				commentBefore(type, node.types[i - 1]?.end ?? node.parent.name.end),
			),
		);
	}

	if (!ts.isTypeLiteralNode(node)) {
		return [];
	}

	const [event, ...fields] = node.members;
	const kind = event.type.getText(source).replaceAll("'", '');
	return [{kind, comment, fields: fields.map(field => fieldOf(field))}];
}

const events = source.statements
	.filter(statement => ts.isTypeAliasDeclaration(statement))
	.flatMap(statement =>
		eventsIn(
			statement.type,
			commentBefore(statement, statement.getFullStart()),
		),
	);
const undocumented = events.filter(({comment}) => comment === '');
if (undocumented.length > 0) {
	const kinds = undocumented.map(({kind}) => kind).join(', ');
	throw new Error(`log events without a doc comment: ${kinds}`);
}

const eventRows = events.map(
	({kind, comment, fields}) =>
		`| \`${kind}\` | ${comment} | ${fields.join(', ')} |`,
);
const metricRows = Object.values(metricDefinitions).map(
	({name, kind, help, labels}) =>
		`| \`${name}\` | ${kind} | ${labels.map(label => `\`${label}\``).join(', ')} | ${help} |`,
);

writeOrCheck(
	'docs/operators/direct-path.md',
	`# Log lines and metrics of the direct path

This page is generated from the code by \`npm run docs:generate\`; CI checks that it is up to date. [OPERATIONS.md](../OPERATIONS.md) shows how to use them.

## Log lines

Each line on standard output is one JSON object with \`time\` (wall clock, milliseconds since the epoch), \`now\` (the process's monotonic clock in milliseconds), \`host\` and \`event\`. Lines contain no keys and no bodies. Each event has a maximum number of lines per second; \`linesDropped\` reports how many lines were dropped. All times are in milliseconds.

| event | when | fields |
| --- | --- | --- |
${eventRows.join('\n')}

## Metrics

Each process serves them as text on its metrics address.

| metric | kind | labels | meaning |
| --- | --- | --- | --- |
${metricRows.join('\n')}
`,
);
