/**
 * Generates docs/operators/settings.md from the daemon's settings definitions.
 * With `--check`, only compares the page and exits with 1 if it is out of date.
 */
import {
	definitionsOf,
	flagOf,
	variableOf,
} from '../packages/daemon/dist/settings/settings.js';
import {writeOrCheck} from './generated-page.js';

function defaultOf(definition) {
	const result = definition.schema.safeParse(undefined);
	if (!result.success) {
		return 'required';
	}

	if (definition.isSecret || result.data === undefined) {
		return 'none';
	}

	return `\`${String(result.data)}\``;
}

function rowOf([name, definition]) {
	const flag = definition.isSecret ? 'none (secret)' : `\`${flagOf(name)}\``;
	const cells = [
		`\`${variableOf(name)}\``,
		flag,
		`\`${definition.form.replaceAll('|', String.raw`\|`)}\``,
		defaultOf(definition),
		definition.description,
	];
	return `| ${cells.join(' | ')} |`;
}

function tableOf(entries) {
	return [
		'| variable | flag | form | default | meaning |',
		'| --- | --- | --- | --- | --- |',
		...entries.map(entry => rowOf(entry)),
	].join('\n');
}

function pageText() {
	const entry = Object.entries(definitionsOf('entry'));
	const agent = Object.entries(definitionsOf('agent'));
	const agentNames = new Set(agent.map(([name]) => name));
	const entryNames = new Set(entry.map(([name]) => name));
	return `# Settings of balsamtrayd

This page is generated from the settings' schema by \`npm run docs:generate\`; CI checks that it is up to date.

Each setting is read from its flag or its environment variable; the flag takes precedence.
Secrets are read from the environment or a file, never from a flag, and are never logged.
The daemon reports all invalid settings at once and exits with 2. It warns about unknown \`BALSAMTRAY_\` variables.
\`balsamtrayd entry --check-settings\` and \`balsamtrayd agent --check-settings\` check and print the settings without starting the daemon.

## Both roles

${tableOf(entry.filter(([name]) => agentNames.has(name)))}

## entry

${tableOf(entry.filter(([name]) => !agentNames.has(name)))}

## agent

${tableOf(agent.filter(([name]) => !entryNames.has(name)))}
`;
}

writeOrCheck('docs/operators/settings.md', pageText());
