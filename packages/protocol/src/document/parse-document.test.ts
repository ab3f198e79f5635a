import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {parseCanonicalDocument} from './check-document.js';
import {formatFault, parseDocument} from './parse-document.js';

const validSource = `
customers:
  town: {tokensPerSecond: 100, burstTokens: 500}
adapters:
  salt:
    baseModel: base
    customers: [town]
    versions: {v1: salt-v1}
    currentVersion: v1
routes:
  orders:
    service: order-desk
    isRepeatable: false
    tokensPerCall: 50
  notes: {adapter: salt, version: v1}
  info: {service: info, openCustomer: town, isRepeatable: true, tokensPerCall: 1}
`;

function faultsOf(source: string): readonly string[] {
	const result = parseDocument(source);
	assert.equal(result.kind, 'invalid');
	return result.faults.map(fault => formatFault(fault));
}

describe('parseDocument', () => {
	describe('with a valid document', () => {
		it('parses customers, adapters and routes', () => {
			const result = parseDocument(validSource);
			assert.equal(result.kind, 'valid');
			assert.deepEqual(result.document.customers, [
				{name: 'town', tokensPerSecond: 100, burstTokens: 500, weight: 1},
			]);
			assert.deepEqual(result.document.routes[2], {
				name: 'orders',
				target: {kind: 'service', service: 'order-desk'},
				customers: [],
				isRepeatable: false,
				tokensPerCall: 50,
			});
		});

		it('gives the same result for the same document in JSON', () => {
			const yaml = parseDocument(validSource);
			assert.equal(yaml.kind, 'valid');
			const json = parseDocument(yaml.text);
			const wire = parseCanonicalDocument(yaml.text);
			assert.deepEqual(json, yaml);
			assert.deepEqual(wire, yaml);
		});
	});

	describe('with faults', () => {
		it('reports each fault with its line', () => {
			const source = validSource
				.replace('currentVersion: v1', 'currentVersion: v2')
				.replace('[town]', '[village]')
				.replace('isRepeatable: false', 'isRepeatable: perhaps')
				.replace('version: v1', 'version: v9');
			const faults = faultsOf(`${source}extra: 1\n`);
			assert.deepEqual(faults, [
				'line 17: extra: is not known',
				'line 13: routes.orders.isRepeatable: Invalid input: expected boolean, received string',
				'line 7: adapters.salt.customers.0: unknown customer village',
				'line 9: adapters.salt.currentVersion: unknown version v2',
				'line 15: routes.notes.version: adapter salt has no version v9',
			]);
		});

		it('rejects addresses and secrets', () => {
			const faults = faultsOf(
				validSource
					.replace('salt-v1', '10.0.0.1/salt')
					.replace('order-desk', `bt_${'0'.repeat(16)}_${'1'.repeat(64)}`),
			);
			assert.equal(faults.length, 2);
			assert.ok(faults.every(fault => fault.includes('no address')));
		});

		it('reports the line of a YAML syntax fault', () => {
			assert.match(faultsOf('customers: {a\n').join('\n'), /^line \d+: /v);
			assert.match(
				faultsOf('customers: {}\ncustomers: {}\n')[0] ?? '',
				/^line 2/v,
			);
		});

		it('rejects aliases that expand exponentially', () => {
			const bomb = ['a: &a [x,x,x,x,x,x,x,x,x]'];
			for (let i = 0; i < 20; i++) {
				const name = String.fromCodePoint(98 + i);
				const last = String.fromCodePoint(97 + i);
				bomb.push(`${name}: &${name} [${`*${last},`.repeat(9)}]`);
			}

			assert.equal(parseDocument(bomb.join('\n')).kind, 'invalid');
		});
	});
});
