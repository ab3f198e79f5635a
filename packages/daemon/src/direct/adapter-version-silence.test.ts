import {describe, it} from 'node:test';
import {assertNoneOutdated, seeds} from './adapter-versions.testing.js';

describe('requests for an adapter whose versions change', () => {
	// Guards against a version in a server's last report, taken for the one that it holds while its agent is gone.
	it(`never begin on one at servers whose agents fall silent, in ${seeds} schedules`, () => {
		assertNoneOutdated(3000);
	});
});
