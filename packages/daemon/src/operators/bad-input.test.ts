import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {ConfigChange} from '@balsamtray/core';
import {peerRouter} from '@balsamtray/protocol';
import {
	fastifyTRPCPlugin,
	type FastifyTRPCPluginOptions,
} from '@trpc/server/adapters/fastify';
import fastify from 'fastify';
import fc from 'fast-check';
import {OperatorsApi} from './operators-api.js';
import {createTestFleet, documentText, noTelemetry} from './testing.js';

const seed = 20_260_122;
const schemaRuns = 1000;
const callRuns = 300;
const serverErrorStatus = 500;

const procedures = [
	'plan',
	'applyDocument',
	'promote',
	'history',
	'status',
	'issueKey',
	'withdrawKey',
	'zoneOut',
	'zoneIn',
	'drainServer',
	'undrainServer',
	'nothing',
	'__proto__',
];

const arbitraryInput = fc.oneof(
	fc.jsonValue(),
	fc.record(
		{
			text: fc.oneof(fc.string(), fc.constant(documentText('a'))),
			changeId: fc.oneof(fc.string(), fc.jsonValue()),
			baseVersion: fc.oneof(fc.double(), fc.integer()),
			zone: fc.oneof(fc.string(), fc.jsonValue()),
			customer: fc.string(),
			digest: fc.string(),
		},
		{requiredKeys: []},
	),
);

describe("operators' API with arbitrary input", () => {
	it('never fails and never changes the configuration', async () => {
		const fleet = createTestFleet();
		const {author, config} = fleet.addEntry('one');
		await fleet.start();
		const app = fastify();
		await OperatorsApi.create({
			keys: [{name: 'changer', role: 'change', key: 'change-key'}],
			service: author,
			telemetry: noTelemetry,
		}).register(app);
		const property = fc.asyncProperty(
			fc.constantFrom(...procedures),
			arbitraryInput,
			async (procedure, input) => {
				const res = await app.inject({
					method: 'POST',
					url: `/trpc/${procedure}`,
					headers: {
						authorization: 'Bearer change-key',
						'content-type': 'application/json',
					},
					payload: JSON.stringify(input),
				});
				assert.ok(res.statusCode < serverErrorStatus, res.body);
				assert.equal(config.view().version, 0);
			},
		);
		await fc.assert(property, {seed, numRuns: callRuns});
		await app.close();
	});
});

describe('peer API with arbitrary input', () => {
	it('never fails and never changes the configuration', async () => {
		const fleet = createTestFleet();
		const {config} = fleet.addEntry('one');
		await fleet.start();
		const app = fastify();
		const plugin: FastifyTRPCPluginOptions<typeof peerRouter> = {
			prefix: '/trpc',
			trpcOptions: {
				router: peerRouter,
				createContext: () => ({
					identity: () => ({
						id: 'one',
						role: 'entry',
						zone: 'zone-1',
						incarnation: 'i',
						configVersion: config.announcedVersion(),
					}),
					config,
				}),
			},
		};
		await app.register(fastifyTRPCPlugin, plugin);
		const input = fc.oneof(
			fc.jsonValue(),
			fc.record({peer: fc.string(), version: fc.double()}),
		);
		const property = fc.asyncProperty(
			fc.constantFrom('exchangeVersion', 'changesAfter', 'identity'),
			input,
			async (procedure, value) => {
				const query = encodeURIComponent(JSON.stringify(value));
				const isMutation = procedure === 'exchangeVersion';
				const res = await app.inject({
					method: isMutation ? 'POST' : 'GET',
					url: `/trpc/${procedure}${isMutation ? '' : `?input=${query}`}`,
					headers: {'content-type': 'application/json'},
					...(isMutation && {payload: JSON.stringify(value)}),
				});
				assert.ok(res.statusCode < serverErrorStatus, res.body);
				assert.equal(config.view().version, 0);
			},
		);
		await fc.assert(property, {seed, numRuns: callRuns});
		await app.close();
	});

	it('applies no change of a message that contains a malformed one', async () => {
		const fleet = createTestFleet();
		const {config} = fleet.addEntry('one');
		await fleet.start();
		const valid: ConfigChange = {
			version: 1,
			changeId: 'good',
			author: 'a',
			writtenAt: 0,
			summary: '',
			ops: [{op: 'takeZoneOut', zone: 'z'}],
		};
		const property = fc.property(
			fc.anything(),
			fc.nat(2),
			(malformed, index) => {
				const list: unknown[] = [valid, {...valid, version: 2}];
				list.splice(index, 0, malformed);
				// A peer may send any value, regardless of the declared types.
				// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
				config.learn('peer', list as readonly ConfigChange[]);
				assert.equal(config.view().version, 0);
			},
		);
		fc.assert(property, {seed, numRuns: schemaRuns});
		config.learn('peer', [valid]);
		assert.equal(config.view().version, 1);
	});
});
