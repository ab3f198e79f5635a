/** Writes docs/operators/direct-path.md from the kinds of log lines and the metrics. With `--check` it compares. */
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

/** Text of the comments between a position and a node. */
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
const silent = events.filter(({comment}) => comment === '');
if (silent.length > 0) {
	const kinds = silent.map(({kind}) => kind).join(', ');
	throw new Error(`log lines without a comment: ${kinds}`);
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

This page is generated from the code by \`npm run docs:generate\`; CI checks that it is current. [OPERATIONS.md](../OPERATIONS.md) shows how to use them.

## Log lines

One JSON object a line on standard output. Each has \`time\` (milliseconds since the epoch), \`now\` (the process's steady clock in milliseconds), \`host\` and \`event\`. Lines hold no keys and no bodies. Each kind has a budget of lines a second; \`linesDropped\` tells what went beyond it. Times are milliseconds.

| event | when | fields |
| --- | --- | --- |
${eventRows.join('\n')}

## Metrics

As text on the metrics address of each process.

| metric | kind | labels | meaning |
| --- | --- | --- | --- |
${metricRows.join('\n')}
`,
);
