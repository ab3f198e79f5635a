/**
 * Writes docs/operators/settings.md from the daemon's settings definitions.
 * With `--check` it compares instead and exits with 1 when the page is out of date.
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
		return 'needed';
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

This page is generated from the settings' schema by \`npm run docs:generate\`; CI checks that it is current.

Each setting is read from its flag or its environment variable; the flag goes before the variable.
Secrets are taken from the environment or a file, never from a flag, and are never logged.
All faults are named at once, and the daemon exits with 2. Unknown \`BALSAMTRAY_\` variables are warned of.
\`balsamtrayd entry --check-settings\` and \`balsamtrayd agent --check-settings\` check and print the settings without starting.

## Both roles

${tableOf(entry.filter(([name]) => agentNames.has(name)))}

## entry

${tableOf(entry.filter(([name]) => !agentNames.has(name)))}

## agent

${tableOf(agent.filter(([name]) => !entryNames.has(name)))}
`;
}

writeOrCheck('docs/operators/settings.md', pageText());
