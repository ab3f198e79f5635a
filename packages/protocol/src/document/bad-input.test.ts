import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {stringify} from 'yaml';
import {configResponseSchema, configChangeSchema} from './change-schema.js';
import {checkDocument, parseCanonicalDocument} from './check-document.js';
import {parseDocument} from './parse-document.js';
import type {DocumentResult} from './types.js';

const options = {seed: 20_260_114, numRuns: 1000};

const validDocument = {
	customers: {town: {tokensPerSecond: 100, burstTokens: 500, weight: 2}},
	adapters: {
		salt: {
			baseModel: 'base',
			customers: ['town'],
			versions: {v1: 'salt-v1'},
			currentVersion: 'v1',
		},
	},
	routes: {
		orders: {service: 'desk', isRepeatable: false, tokensPerCall: 5},
		notes: {adapter: 'salt', version: 'v1', openCustomer: 'town'},
	},
};

const edgeCaseValue = fc.oneof(
	fc.jsonValue(),
	fc.constantFrom('', '__proto__', 'constructor', '10.1.2.3', 'a@b', -1, 1e300),
);

/** Replaces the node at the given index, counted depth-first from 0, by another value. */
function replaceNode(
	value: unknown,
	nodeIndex: number,
	replacement: unknown,
): unknown {
	let nodesLeft = nodeIndex;
	function visit(item: unknown): unknown {
		if (nodesLeft-- === 0) {
			return replacement;
		}

		if (Array.isArray(item)) {
			return item.map(inner => visit(inner));
		}

		return typeof item === 'object' && item !== null
			? Object.fromEntries(
					Object.entries(item).map(([name, inner]) => [name, visit(inner)]),
				)
			: item;
	}

	return visit(value);
}

/** Asserts that a result has faults, or a document whose canonical text parses to the same result. */
function assertConsistent(result: DocumentResult): void {
	if (result.kind === 'invalid') {
		assert.ok(result.faults.length > 0);
		return;
	}

	assert.deepEqual(parseCanonicalDocument(result.text), result);
}

/** Asserts that the result is of the expected kind and that each fault has a line. */
function assertKindWithLines(parsed: DocumentResult, kind: string): void {
	assert.equal(parsed.kind, kind);
	if (parsed.kind === 'invalid') {
		assert.ok(parsed.faults.every(({line = 0}) => line >= 1));
	}
}

const replacements = fc.array(
	fc.record({nodeIndex: fc.nat(30), replacement: edgeCaseValue}),
	{
		minLength: 1,
		maxLength: 3,
	},
);

function withReplacements(
	list: ReadonlyArray<{nodeIndex: number; replacement: unknown}>,
): unknown {
	let value: unknown = validDocument;
	for (const {nodeIndex, replacement} of list) {
		value = replaceNode(value, nodeIndex, replacement);
	}

	return value;
}

describe('invalid input', () => {
	describe('as a document', () => {
		it('gives a consistent result for any value', () => {
			const property = fc.property(fc.anything(), value => {
				assertConsistent(checkDocument(value));
			});
			fc.assert(property, options);
		});

		it('gives a consistent result for any text', () => {
			const texts = fc.oneof(
				fc.string({unit: 'grapheme', maxLength: 200}),
				fc
					.array(fc.constantFrom(...'{}[]:,-&*!|>%@`#?\n \t"\'ab1~'))
					.map(parts => parts.join('')),
			);
			const property = fc.property(texts, text => {
				assertConsistent(parseDocument(text));
				assertConsistent(parseCanonicalDocument(text));
			});
			fc.assert(property, options);
		});

		it('is accepted completely or rejected if parts of a valid one are replaced', () => {
			assert.equal(checkDocument(validDocument).kind, 'valid');
			const property = fc.property(replacements, list => {
				const value = withReplacements(list);
				const result = checkDocument(value);
				assertConsistent(result);
				assertKindWithLines(parseDocument(stringify(value)), result.kind);
			});
			fc.assert(property, options);
		});
	});

	describe('as a message between processes', () => {
		it('is rejected by the schemas without an exception', () => {
			const property = fc.property(fc.anything(), value => {
				assert.equal(configResponseSchema.safeParse(value).success, false);
				assert.equal(configChangeSchema.safeParse(value).success, false);
			});
			fc.assert(property, options);
		});
	});
});
