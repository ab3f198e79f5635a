import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {stringify} from 'yaml';
import {configAnswerSchema, configChangeSchema} from './change-schema.js';
import {checkDocument, readCanonicalDocument} from './check-document.js';
import {parseDocument} from './parse-document.js';
import type {DocumentResult} from './types.js';

const options = {seed: 20_260_114, numRuns: 1000};

const goodDocument = {
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

const strangeValue = fc.oneof(
	fc.jsonValue(),
	fc.constantFrom('', '__proto__', 'constructor', '10.1.2.3', 'a@b', -1, 1e300),
);

/** Replaces one place of plain data by another value. */
function replaceAt(value: unknown, place: number, other: unknown): unknown {
	let left = place;
	function visit(item: unknown): unknown {
		if (left-- === 0) {
			return other;
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

/** A result is whole: faults, or a document that reads back the same. */
function assertWhole(result: DocumentResult): void {
	if (result.kind === 'invalid') {
		assert.ok(result.faults.length > 0);
		return;
	}

	assert.deepEqual(readCanonicalDocument(result.text), result);
}

/** The same as the plain data gave, with a line for each fault. */
function assertSame(parsed: DocumentResult, kind: string): void {
	assert.equal(parsed.kind, kind);
	if (parsed.kind === 'invalid') {
		assert.ok(parsed.faults.every(({line = 0}) => line >= 1));
	}
}

const places = fc.array(fc.record({place: fc.nat(30), other: strangeValue}), {
	minLength: 1,
	maxLength: 3,
});

function damaged(
	list: ReadonlyArray<{place: number; other: unknown}>,
): unknown {
	let value: unknown = goodDocument;
	for (const {place, other} of list) {
		value = replaceAt(value, place, other);
	}

	return value;
}

describe('bad input', () => {
	describe('as a document', () => {
		it('crashes nothing, whatever the value', () => {
			const property = fc.property(fc.anything(), value => {
				assertWhole(checkDocument(value));
			});
			fc.assert(property, options);
		});

		it('crashes nothing, whatever the text', () => {
			const texts = fc.oneof(
				fc.string({unit: 'grapheme', maxLength: 200}),
				fc
					.array(fc.constantFrom(...'{}[]:,-&*!|>%@`#?\n \t"\'ab1~'))
					.map(parts => parts.join('')),
			);
			const property = fc.property(texts, text => {
				assertWhole(parseDocument(text));
				assertWhole(readCanonicalDocument(text));
			});
			fc.assert(property, options);
		});

		it('is accepted whole or not at all when a right one was damaged', () => {
			assert.equal(checkDocument(goodDocument).kind, 'valid');
			const property = fc.property(places, list => {
				const value = damaged(list);
				const result = checkDocument(value);
				assertWhole(result);
				assertSame(parseDocument(stringify(value)), result.kind);
			});
			fc.assert(property, options);
		});
	});

	describe('as a message between processes', () => {
		it('crashes no schema', () => {
			const property = fc.property(fc.anything(), value => {
				assert.equal(configAnswerSchema.safeParse(value).success, false);
				assert.equal(configChangeSchema.safeParse(value).success, false);
			});
			fc.assert(property, options);
		});
	});
});
