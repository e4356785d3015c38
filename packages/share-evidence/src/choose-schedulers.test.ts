import { test } from 'uvu';
import * as assert from 'uvu/assert';
import chooseSchedulers, { choosePartition } from './choose-schedulers.js';

function nameVms(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `10.0.${index}.1:70`);
}

test('90 VMs have one partition of the targets with two schedulers, 410 VMs have four', () => {
  assert.equal(
    chooseSchedulers(nameVms(90)).map((vms) => vms.length),
    [2],
  );
  const large = chooseSchedulers(nameVms(410));
  assert.equal(
    large.map((vms) => vms.length),
    [2, 2, 2, 2],
  );
  assert.is(new Set(large.flat()).size, 8);
});

test('the loss of a VM that follows the store does not change the schedulers', () => {
  const vms = nameVms(410);
  assert.equal(chooseSchedulers(vms.slice(1)), chooseSchedulers(vms));
});

test('the standby of a lost scheduler becomes the first', () => {
  const vms = nameVms(90);
  const [[first = '', standIn = ''] = []] = chooseSchedulers(vms);
  const [[next] = []] = chooseSchedulers(vms.filter((vm) => vm !== first));
  assert.is(next, standIn);
});

test('targets are distributed evenly over the partitions', () => {
  const counts = [0, 0, 0, 0];
  for (let index = 0; index < 400; index += 1) {
    const part = choosePartition(`i-${index}`, counts.length);
    counts[part] = (counts[part] ?? 0) + 1;
  }
  assert.ok(Math.min(...counts) > 75, counts.join(' '));
});

test.run();
