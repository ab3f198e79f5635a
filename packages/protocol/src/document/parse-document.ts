import {
	isMap,
	isNode,
	isPair,
	isScalar,
	isSeq,
	LineCounter,
	parseDocument as parseYaml,
	visit,
	type Document,
	type Node,
	type YAMLMap,
} from 'yaml';
import {checkDocument} from './check-document.js';
import {maxDocumentLength} from './constants.js';
import type {DocumentFault, DocumentResult} from './types.js';

/** Parses and checks a document in YAML or JSON. Every fault has its line number. */
export function parseDocument(source: string): DocumentResult {
	if (source.length > maxDocumentLength) {
		return invalid([{path: [], message: 'is too long', line: 1}]);
	}

	const lines = new LineCounter();
	let yaml: Document;
	try {
		yaml = parseYaml(source, {
			lineCounter: lines,
			stringKeys: true,
			// The library's check compares each key with all earlier ones, which takes quadratic time. `duplicateFaults` uses a set.
			uniqueKeys: false,
		});
	} catch (error) {
		return invalid([{path: [], message: messageOf(error), line: 1}]);
	}

	if (yaml.errors.length > 0) {
		return invalid(
			yaml.errors.map(error => ({
				path: [],
				message: firstLine(error.message),
				line: lines.linePos(error.pos[0]).line,
			})),
		);
	}

	const duplicates = duplicateFaults(yaml, lines);
	return duplicates.length > 0 ? invalid(duplicates) : checkYaml(yaml, lines);
}

/** Formats a fault on one line, with its line number, path and message. */
export function formatFault(fault: DocumentFault): string {
	const line = fault.line === undefined ? '' : `line ${fault.line}: `;
	const path = fault.path.length === 0 ? 'document' : fault.path.join('.');
	return `${line}${path}: ${fault.message}`;
}

function checkYaml(yaml: Document, lines: LineCounter): DocumentResult {
	let value: unknown;
	try {
		value = yaml.toJS();
	} catch (error) {
		return invalid([{path: [], message: messageOf(error), line: 1}]);
	}

	const result = checkDocument(value);
	return result.kind === 'valid'
		? result
		: invalid(
				result.faults.map(fault => ({
					...fault,
					line: lineOf(yaml, lines, fault.path),
				})),
			);
}

/** Reports keys that occur more than once in a mapping. */
function duplicateFaults(
	yaml: Document,
	lines: LineCounter,
): readonly DocumentFault[] {
	const faults: DocumentFault[] = [];
	visit(yaml, (_key, node) => {
		if (isMap(node)) {
			faults.push(...duplicatesOf(node, lines));
		}
	});
	return faults;
}

function duplicatesOf(
	map: YAMLMap,
	lines: LineCounter,
): readonly DocumentFault[] {
	const names = new Set<unknown>();
	const faults: DocumentFault[] = [];
	for (const {key} of map.items) {
		const name = isScalar(key) ? key.value : undefined;
		if (names.has(name)) {
			const {line} = lines.linePos(offsetOf(key) ?? 0);
			const message = `${String(name)} stands twice in one mapping`;
			faults.push({path: [], message, line});
		}

		names.add(name);
	}

	return faults;
}

function invalid(faults: readonly DocumentFault[]): DocumentResult {
	return {kind: 'invalid', faults};
}

/** Returns the line number of the path, or of its longest prefix that exists in the text. */
function lineOf(
	yaml: Document,
	lines: LineCounter,
	path: DocumentFault['path'],
): number {
	let node: unknown = yaml.contents;
	let offset = offsetOf(node) ?? 0;
	for (const part of path) {
		const child = childOf(node, part);
		if (child === undefined) {
			break;
		}

		offset = child.offset ?? offset;
		node = child.value;
	}

	return Math.max(1, lines.linePos(offset).line);
}

type Child = {readonly offset: number | undefined; readonly value: unknown};

function childOf(node: unknown, part: string | number): Child | undefined {
	if (isSeq(node)) {
		const value = node.items[Number(part)];
		return value === undefined ? undefined : {offset: offsetOf(value), value};
	}

	if (!isMap(node)) {
		return undefined;
	}

	const pair = node.items.find(
		item => isPair(item) && isScalar(item.key) && item.key.value === part,
	);
	return pair && {offset: offsetOf(pair.key), value: pair.value};
}

function offsetOf(node: unknown): number | undefined {
	return isNode(node) ? (node as Node).range?.[0] : undefined;
}

function messageOf(error: unknown): string {
	return firstLine(error instanceof Error ? error.message : String(error));
}

function firstLine(text: string): string {
	return text.split('\n', 1)[0] ?? '';
}
