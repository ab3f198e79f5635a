import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {unansweredLifetimeMs} from './constants.js';
import {
	UnansweredRequests,
	type UnansweredRequest,
} from './unanswered-requests.js';

const request: UnansweredRequest = {
	fingerprint: 'request',
	server: 's1',
	address: '10.0.0.1:80',
	born: 1,
	sentAt: 1000,
	leftAt: 5000,
	heardAt: 1050,
};

function crashedOf(
	requests: ReadonlyArray<Partial<UnansweredRequest>>,
	hasEnded = true,
): readonly string[] {
	const unanswered = UnansweredRequests.create();
	for (const changes of requests) {
		unanswered.add({...request, ...changes});
	}

	return unanswered
		.takeCrashed(() => hasEnded, 6000)
		.map(({fingerprint, server}) => `${fingerprint} ${server}`);
}

// Guards against a request under which servers go dark and that is never refused (BUDGET, review case 4).
describe('a request that was given up without an answer', () => {
	it('has crashed its server if that went silent and another start has its place', () => {
		assert.deepEqual(crashedOf([{}]), ['request s1']);
		assert.deepEqual(crashedOf([{heardAt: undefined}]), ['request s1']);
		assert.deepEqual(crashedOf([{}], false), []);
	});

	it('has not if the server was heard until then, or was dark before', () => {
		assert.deepEqual(crashedOf([{heardAt: 4900}]), []);
		assert.deepEqual(crashedOf([{sentAt: 3000, heardAt: 1050}]), []);
		assert.deepEqual(crashedOf([{leftAt: 1200}]), []);
	});

	it('counts once for servers that went dark at one moment, as with a host', () => {
		const second = {server: 's2', heardAt: 1400};
		assert.deepEqual(crashedOf([{}, second]), ['request s1']);
		const later = {server: 's3', sentAt: 2500, heardAt: 2550};
		assert.deepEqual(crashedOf([{}, later]), ['request s1', 'request s3']);
	});

	it('is told once, and not after its time', () => {
		const unanswered = UnansweredRequests.create();
		unanswered.add(request);
		assert.equal(unanswered.takeCrashed(() => true, 6000).length, 1);
		assert.equal(unanswered.takeCrashed(() => true, 6000).length, 0);
		unanswered.add(request);
		const late = request.leftAt + unansweredLifetimeMs + 1;
		assert.equal(unanswered.takeCrashed(() => true, late).length, 0);
	});
});
