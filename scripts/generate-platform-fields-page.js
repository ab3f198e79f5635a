/**
 * Generates docs/operators/platform-fields.md from the table of the platform's fields.
 * With `--check`, only compares the page and exits with 1 if it is out of date.
 */
import {platformFields} from '../platform/dist/platform-fields.js';
import {writeOrCheck} from './generated-page.js';

const titles = {
	entrySettings: 'Settings of an entry',
	agentSettings: 'Settings of an agent',
	configRow: 'Row `config` of the operator',
	versionRow: 'Rows `version/…` of the operator',
	serverRow: 'Row of a server',
	engineReport: 'Report of an engine',
	serverResponse: 'Headers of a response of a server',
};

function rowOf({path, type, requiredBy, use, without, isStrict}) {
	const absence =
		requiredBy === undefined ? without : `**required**: ${requiredBy}`;
	const strictness = isStrict === true ? '; the wrong type is a fault' : '';
	return `| \`${path}\` | ${type === 'endpoint' ? 'IP:PORT' : type} | ${use} | ${absence}${strictness} |`;
}

const sources = [...new Set(platformFields.map(({source}) => source))];
const sections = sources.flatMap(source => [
	`## ${titles[source]}`,
	'',
	'| field | type | needed for | without it |',
	'| --- | --- | --- | --- |',
	...platformFields
		.filter(field => field.source === source)
		.map(field => rowOf(field)),
	'',
]);
const text = `# Fields of the platform

This page is generated from \`platform/src/platform-fields.ts\` by \`npm run docs:generate\`; CI checks that it is up to date.

It lists every field of settings, configuration, server rows, engine reports and responses that the processes read. Other fields are ignored. \`[]\` stands for each item of a list. An optional field of the wrong type counts as absent unless its row says otherwise. Settings and configurations with a fault are refused as a whole: a process does not start with such settings, and a running one keeps those that it has and says so in its log. The rows \`evacuate/ZONE\` of the operator have no fields.

${sections.join('\n')}`;
writeOrCheck('docs/operators/platform-fields.md', `${text.trimEnd()}\n`);
