import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	definitionsOf,
	readEntrySettings,
	formatSettings,
	variableOf,
} from './settings.js';

const validEnv = {
	BALSAMTRAY_HOST_ID: 'gl-entry-1',
	BALSAMTRAY_ZONE: 'gl-a',
	BALSAMTRAY_PEER_LISTEN: '127.0.0.1:7001',
	BALSAMTRAY_TABLE_URL: 'http://127.0.0.1:9001/',
	BALSAMTRAY_OBJECT_URL: 'http://127.0.0.1:9002',
	BALSAMTRAY_HOSTS_URL: 'http://127.0.0.1:9003',
	BALSAMTRAY_LISTEN: '127.0.0.1:8080',
	BALSAMTRAY_OPERATOR_LISTEN: '127.0.0.1:8090',
	BALSAMTRAY_OPERATOR_KEYS: 'ann:change:0123456789abcdef',
};

describe('settings', () => {
	describe('with all required variables', () => {
		it('are valid and typed', () => {
			const result = readEntrySettings({}, validEnv);
			assert.equal(result.kind, 'valid');
			assert.deepEqual(result.settings.listen, {
				address: '127.0.0.1',
				port: 8080,
			});
			assert.equal(result.settings.tableUrl, 'http://127.0.0.1:9001');
			assert.equal(result.settings.operatorKeys[0]?.role, 'change');
		});

		it('prefer a flag to its variable', () => {
			const result = readEntrySettings({zone: 'gl-b'}, validEnv);
			assert.equal(result.kind, 'valid');
			assert.equal(result.settings.zone, 'gl-b');
		});

		it('never show a secret', () => {
			const result = readEntrySettings({}, validEnv);
			assert.equal(result.kind, 'valid');
			const shown = JSON.stringify(formatSettings('entry', result.settings));
			assert.ok(!shown.includes('0123456789abcdef'));
		});
	});

	describe('with invalid values', () => {
		it('report all faults at once', () => {
			const result = readEntrySettings(
				{},
				{
					...validEnv,
					BALSAMTRAY_LISTEN: 'localhost:8080',
					BALSAMTRAY_ZONE: undefined,
					BALSAMTRAY_TRANSPORT: 'tls',
				},
			);
			assert.equal(result.kind, 'faulty');
			assert.deepEqual(
				result.faults.map(fault => fault.setting),
				[
					'BALSAMTRAY_ZONE',
					'BALSAMTRAY_LISTEN',
					'BALSAMTRAY_TLS_CERT_FILE',
					'BALSAMTRAY_TLS_KEY_FILE',
					'BALSAMTRAY_TLS_CA_FILE',
				],
			);
		});

		it('never repeat an invalid secret', () => {
			const result = readEntrySettings(
				{},
				{...validEnv, BALSAMTRAY_OPERATOR_KEYS: 'ann:owner:0123456789abcdef'},
			);
			assert.ok(!JSON.stringify(result).includes('0123456789abcdef'));
			assert.equal(result.kind, 'faulty');
		});

		it('ignore a secret in a flag', () => {
			const result = readEntrySettings(
				{operatorKeys: 'bob:change:fedcba9876543210'},
				validEnv,
			);
			assert.ok(!JSON.stringify(result).includes('fedcba9876543210'));
		});

		it('warn about unknown variables', () => {
			const result = readEntrySettings(
				{},
				{...validEnv, BALSAMTRAY_LISTENN: 'x'},
			);
			assert.deepEqual(result.warnings, [
				'unknown environment variable BALSAMTRAY_LISTENN',
			]);
		});
	});

	describe('with arbitrary texts', () => {
		it('never throw', () => {
			const names = Object.keys(definitionsOf('entry')).map(name =>
				variableOf(name),
			);
			fc.assert(
				fc.property(
					fc.dictionary(fc.constantFrom(...names), fc.string()),
					env => {
						readEntrySettings({}, env);
					},
				),
				{numRuns: 1000, seed: 3},
			);
		});
	});
});
